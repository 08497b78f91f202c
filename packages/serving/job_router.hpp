#pragma once

#include "serving/job_executor.hpp"
#include "serving/peer_mesh.hpp"
#include "serving/piece_batcher.hpp"

namespace mangofold::serving
{

/// Routes each stage job to the entry elected to batch its service, among the
/// entries that answer. Jobs that another entry had not answered when its
/// connection was lost are sent to the next elected entry and executed again.
class job_router : public job_executor
{
public:
    job_router(entry_context& context, piece_batcher& batcher, peer_mesh& mesh);

    /// Submits the jobs that were held back until the batching entry of their
    /// service is known.
    awaitable<void> run();

    void execute(const std::string& service, decision::stage_job job,
                 pending_job_ptr pending) override;
    void release(const std::string& service,
                 std::vector<std::string> handles) override;

private:
    void submit_held_jobs();
    void execute_locally(const std::string& service, decision::stage_job job,
                         pending_job_ptr pending);

    entry_context& m_context;
    piece_batcher& m_batcher;
    peer_mesh& m_mesh;
    std::vector<routed_job> m_held_jobs;
    /// Whether the batching entries were ever known.
    bool m_has_settled = false;
};

} // namespace mangofold::serving

#pragma once

#include "serving/gatherer.hpp"
#include "serving/peer_mesh.hpp"
#include "serving/piece_maker.hpp"

namespace mangofold::serving
{

/// Routes each stage job to the entry elected to batch its service, among the
/// entries that answer. Jobs that another entry had not answered when its
/// connection was lost are sent to the next elected entry and executed again.
class elected_maker : public piece_maker
{
public:
    elected_maker(entry_context& context, gatherer& batcher, peer_mesh& mesh);

    /// Submits the jobs that were held back until the batching entry of their
    /// service is known.
    awaitable<void> run();

    void make(const std::string& service, decision::stage_job job,
              piece_wait_ptr pending) override;
    void release(const std::string& service,
                 std::vector<std::string> handles) override;

private:
    void submit_held_jobs();
    void execute_locally(const std::string& service, decision::stage_job job,
                         piece_wait_ptr pending);

    entry_context& m_context;
    gatherer& m_batcher;
    peer_mesh& m_mesh;
    std::vector<orphaned_job> m_held_jobs;
    /// Whether the batching entries were ever known.
    bool m_has_settled = false;
};

} // namespace mangofold::serving

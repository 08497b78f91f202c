#pragma once

#include "serving/gatherer.hpp"
#include "serving/peer_mesh.hpp"
#include "serving/piece_maker.hpp"

namespace mangofold::serving
{

/// Has pieces made by the entry that gathers their service: the elected one
/// among those that answer. What it is asked and does not answer before it is
/// lost goes to the next one, and is made again.
class elected_maker : public piece_maker
{
public:
    elected_maker(entry_context& context, gatherer& own, peer_mesh& others);

    /// Hands out what was kept back until it is known who gathers.
    awaitable<void> run();

    void make(const std::string& service, decision::stage_job job,
              piece_wait_ptr wait) override;
    void release(const std::string& service,
                 std::vector<std::string> handles) override;

private:
    void hand_out();
    void make_here(const std::string& service, decision::stage_job job,
                   piece_wait_ptr wait);

    entry_context& m_context;
    gatherer& m_own;
    peer_mesh& m_others;
    std::vector<orphaned_job> m_kept_back;
    bool m_is_open = false; ///< It was once known who gathers.
};

} // namespace mangofold::serving

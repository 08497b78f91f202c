#include "decision/engines/scheduler_contact.hpp"

namespace mangofold::decision
{

namespace
{

/// Unanswered questions in a row after which a scheduler counts as silent. One
/// or two may be late, since an entry has only a part of a core.
constexpr std::uint32_t max_unanswered = 3;

/// How long a silent scheduler is not asked. Within this time another entry is
/// elected if the scheduler has died.
constexpr duration pause = std::chrono::seconds(1);

} // namespace

bool scheduler_contact::should_ask(const std::string& scheduler,
                                   instant now) const
{
    const auto found = m_silent.find(scheduler);
    return found == m_silent.end() || now >= found->second.asked_again_at;
}

bool scheduler_contact::note_unanswered(const std::string& scheduler,
                                        instant now)
{
    silence& noted = m_silent[scheduler];
    if (++noted.unanswered < max_unanswered)
        return false;
    const bool is_new = now >= noted.asked_again_at;
    noted.asked_again_at = now + pause;
    return is_new;
}

} // namespace mangofold::decision

#include "decision/later_work.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// What was begun this long ago has arrived at the next stage and counts in
/// what that one says.
constexpr duration on_the_way = std::chrono::milliseconds(500);

} // namespace

void later_work::note_wait(const std::string& service, duration wait,
                           duration call, instant now)
{
    line& one = m_lines[service];
    one.wait = wait;
    one.call = call;
    one.said_at = now;
}

void later_work::note_begun(const std::string& service, std::uint32_t pieces,
                            duration per_piece, instant now)
{
    line& one = m_lines[service];
    while (!one.coming.empty() && one.coming.front().at + on_the_way <= now)
        one.coming.pop_front();
    one.coming.push_back({now, per_piece * pieces});
}

duration later_work::call_at(const std::string& service, duration usual) const
{
    const auto found = m_lines.find(service);
    return found == m_lines.end() || found->second.call == duration::zero()
               ? usual
               : found->second.call;
}

duration later_work::wait_at(const std::string& service, instant now) const
{
    const auto found = m_lines.find(service);
    if (found == m_lines.end())
        return duration::zero();
    const line& one = found->second;
    // What was said gets old: the work has gone on since.
    duration wait = std::max(one.wait - (now - one.said_at), duration::zero());
    for (const begun& work : one.coming)
        if (work.at + on_the_way > now)
            wait += work.time;
    return wait;
}

} // namespace mangofold::decision

#include "decision/stages/input_release.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// An older statement says nothing about the engine's free slots: in a second
/// it gets some tens of requests of all entries together.
constexpr duration load_validity = std::chrono::seconds(1);

/// Free slots for requests that other entries send at the same time.
constexpr std::uint32_t min_free_slots = 2;

/// The longest time that a target takes to fetch inputs: a fixed part, plus
/// this multiple of the transfer time of the bytes.
constexpr duration min_fetch_time = std::chrono::milliseconds(40);
constexpr double fetch_margin = 4;

/// Failed engines that are remembered. They are few, unless early releases fail
/// everywhere; without a bound, restarted engines would accumulate.
constexpr std::size_t max_failed = 10000;

} // namespace

void input_release::note_load(const target_incarnation& engine,
                              const target_load_report& report, instant now)
{
    if (now > m_pruned_at + load_validity)
    {
        m_pruned_at = now;
        std::erase_if(m_loads, [now](const auto& entry)
                      { return entry.second.at + load_validity < now; });
    }
    m_loads[engine] = {report, now};
}

void input_release::note_inputs_lost(const target_incarnation& engine)
{
    if (m_failed.size() < max_failed)
        m_failed.insert(engine);
}

bool input_release::may_release_early(const target_incarnation& engine,
                                      instant now) const
{
    const auto found = m_loads.find(engine);
    if (found == m_loads.end() || m_failed.contains(engine) ||
        m_failed.size() >= max_failed)
        return false;
    const auto& [report, at] = found->second;
    return at + load_validity >= now && report.waiting == 0 &&
           report.slots >= min_free_slots &&
           report.running <= report.slots - min_free_slots;
}

duration input_release::fetch_time(std::uint64_t bytes, double bytes_per_s)
{
    const double seconds =
        fetch_margin * static_cast<double>(bytes) / std::max(bytes_per_s, 1.0);
    constexpr double max_seconds = 3600;
    return min_fetch_time +
           std::chrono::duration_cast<duration>(
               std::chrono::duration<double>(std::min(seconds, max_seconds)));
}

} // namespace mangofold::decision

#include "decision/prompt_homes.hpp"

#include "decision/election.hpp"

#include <algorithm>
#include <cmath>

namespace mangofold::decision
{

namespace
{

/// How long work counts, as the time in which its weight falls to a third:
/// long enough for some dozens of generations of an entry among a hundred.
constexpr duration memory = std::chrono::seconds(20);

/// A part gets this many times its share of all engines: what names it comes
/// unevenly, and its own parts fall unevenly on its engines.
constexpr double headroom = 1.5;

/// The number of a part's engines is a power of this. Entries that see shares
/// which differ by half mostly come to the same number.
constexpr double engines_step = 4;

/// Sightings of a part that say nothing yet of its share.
constexpr double chance_sightings = 1;

/// Of fewer generations no shares are taken.
constexpr double few_placed = 12;

/// Parts remembered before old ones are looked for.
constexpr std::size_t many_parts = 4096;

/// The weight that is forgotten, as a share of a generation's.
constexpr double negligible = 0.01;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

double prompt_homes::decaying::value(instant now) const
{
    return weight * std::exp(-seconds(now - at) / seconds(memory));
}

void prompt_homes::decaying::add(double more, instant now)
{
    weight = value(now) + more;
    at = now;
}

void prompt_homes::note_placed(const std::vector<shared_part>& prompt,
                               double tokens, instant now)
{
    m_all.add(tokens, now);
    m_placed.add(1, now);
    forget_old(now);
    for (std::size_t one = 0; one + 1 < prompt.size(); ++one)
        m_parts[prompt[one].id].add(tokens, now);
}

void prompt_homes::forget_old(instant now)
{
    if (m_parts.size() < many_parts || now < m_forgot_at + memory)
        return;
    m_forgot_at = now;
    const double least = negligible * m_all.value(now) / m_placed.value(now);
    std::erase_if(m_parts, [&](const auto& part)
                  { return part.second.value(now) < least; });
}

// A part that was seen once or twice may have any share; taken for as much as
// that, each would be kept at several engines, and read at each.
double prompt_homes::share_of(const std::string& part, instant now) const
{
    const double placed = m_placed.value(now);
    if (placed <= 0)
        return 0;
    const double mean = m_all.value(now) / placed;
    const auto found = m_parts.find(part);
    const double seen =
        found == m_parts.end() ? 0 : found->second.value(now) / mean;
    const double counts = std::max(seen - chance_sightings, 0.0);
    return std::min(1.0, counts / std::max(placed, few_placed));
}

std::size_t prompt_homes::engines_for(const std::string& part, std::size_t all,
                                      instant now) const
{
    const double wanted =
        share_of(part, now) * headroom * static_cast<double>(all);
    if (wanted <= 1)
        return 1;
    const double steps = std::round(std::log(wanted) / std::log(engines_step));
    return static_cast<std::size_t>(std::clamp(std::pow(engines_step, steps),
                                               1.0, static_cast<double>(all)));
}

prompt_homes::home
prompt_homes::home_of(const std::vector<const listed_target*>& engines,
                      const std::vector<shared_part>& prompt, instant now) const
{
    if (prompt.size() < 2 || engines.empty())
        return {};
    // The deepest part that others share decides: who keeps it has read all
    // before it.
    const std::string& shared = prompt[prompt.size() - 2].id;
    std::vector<std::pair<std::uint64_t, const listed_target*>> order;
    order.reserve(engines.size());
    for (const listed_target* one : engines)
        order.emplace_back(election_rank(shared, one->incarnation.id), one);
    const std::size_t count = engines_for(shared, engines.size(), now);
    std::partial_sort(order.begin(),
                      order.begin() + static_cast<std::ptrdiff_t>(count),
                      order.end(), std::greater<>());
    // The own part spreads the generations evenly, and keeps a session's
    // together.
    const std::uint64_t own = election_rank(shared, prompt.back().id);
    return {order[own % count].second, count > 1};
}

} // namespace mangofold::decision

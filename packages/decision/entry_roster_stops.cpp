#include "decision/drain.hpp"
#include "decision/election.hpp"
#include "decision/entry_roster.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// How long after its expected return an entry that was told to stop is waited
/// for.
constexpr duration max_return_delay = std::chrono::seconds(2);

/// Entries that were told to stop within this time of each other count as told
/// at the same time, as reports of it are late: each of two would otherwise
/// find that the other one was told later.
constexpr duration min_stop_distance = std::chrono::milliseconds(50);

} // namespace

instant entry_roster::stopping_since(const std::string& address) const
{
    const auto other = m_others_stopping_since.find(address);
    return other == m_others_stopping_since.end() ? m_stopping_since
                                                  : other->second;
}

instant entry_roster::half_back_at(duration stop_time, instant now) const
{
    std::vector<instant> returns{m_stopping_since + stop_time};
    for (const auto& [address, status] : m_others)
        returns.push_back(
            status.is_stopping ? stopping_since(address) + stop_time : now);
    // One that has been due for longer may not come back.
    for (const auto& [address, since] : m_lost_stopping_since)
        if (since + stop_time + max_return_delay >= now)
            returns.push_back(since + stop_time);
    const auto half =
        returns.begin() + static_cast<std::ptrdiff_t>((returns.size() - 1) / 2);
    std::nth_element(returns.begin(), half, returns.end());
    return std::max(*half, now);
}

// The order of entries that were told at the same time mixes the zones, so that
// callers of each zone find some of the later half.
bool entry_roster::stops_after_this(const std::string& address) const
{
    const duration distance = stopping_since(address) - m_stopping_since;
    if (distance > min_stop_distance || distance < -min_stop_distance)
        return distance > duration::zero();
    return election_rank("stop", address) >
           election_rank("stop", m_own_address);
}

// If the first half left nothing to the others, all entries would have streams
// to finish, all would end late, and nobody would take a stream meanwhile.
bool entry_roster::does_later_half_take_all(instant now) const
{
    std::size_t stopping = 1 + m_lost_stopping_since.size();
    std::size_t taking = 0;
    for (const auto& [address, status] : m_others)
    {
        stopping += status.is_stopping ? 1 : 0;
        const bool is_taking =
            !status.is_stopping ||
            (stops_after_this(address) &&
             now < stopping_since(address) + drain::min_taking_time);
        taking += is_taking ? 1 : 0;
    }
    const std::size_t fleet = size() + m_lost_stopping_since.size();
    return 2 * stopping > fleet && 2 * taking >= fleet;
}

other_entries entry_roster::others_while_stopping(instant now) const
{
    if (does_later_half_take_all(now))
        return other_entries::later_half;
    return has_remaining_peers() ? other_entries::most : other_entries::few;
}

} // namespace mangofold::decision

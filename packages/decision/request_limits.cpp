#include "decision/request_limits.hpp"

#include <algorithm>
#include <cmath>

namespace mangofold::decision
{

namespace
{

/// The share of a limit that all entries use together. The rest is a reserve
/// for entries that disagree about the fleet.
constexpr double used_share = 0.75;

/// The lowest limit that is applied, in requests per second. A target that
/// states less still gets a request every few seconds, since only a response
/// shows that its need has ended.
constexpr double min_limit = 0.25;

/// The longest interval between the requests of one entry to a limited target.
/// If all entries of a large fleet sent to it at longer intervals, their
/// requests could arrive together at any time.
constexpr duration max_interval = std::chrono::seconds(4);

/// How long the position of this entry in the fleet is used without asking for
/// it again, which takes time in proportion to the size of the fleet.
constexpr duration position_lifetime = std::chrono::seconds(1);

duration to_interval(double per_second)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(1 / per_second));
}

double used_rate(double per_second)
{
    return used_share * std::max(per_second, min_limit);
}

/// Returns how many entries send to a target at \a rate altogether. Only as
/// many do as can send at max_interval.
std::size_t sender_count(double rate, std::size_t entries)
{
    const double wanted =
        std::ceil(rate * std::chrono::duration<double>(max_interval).count());
    return static_cast<std::size_t>(
        std::clamp(wanted, 1.0, static_cast<double>(entries)));
}

} // namespace

// Responses overtake each other. A response without a limit ends a limit only
// if its request was sent after the limit was stated: an earlier one may have
// been generated before the target became overloaded.
bool request_limits::note_response(const target_incarnation& target,
                                   std::optional<double> per_second,
                                   instant sent_at, instant now)
{
    const auto found = m_targets.find(target);
    if (per_second)
    {
        const bool is_changed =
            found == m_targets.end() || found->second.per_second != *per_second;
        state& limit = m_targets[target];
        limit.per_second = *per_second;
        limit.stated_at = now;
        return is_changed;
    }
    if (found == m_targets.end() || sent_at <= found->second.stated_at)
        return false;
    m_targets.erase(found);
    return true;
}

std::optional<double>
request_limits::limit_of(const target_incarnation& target) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? std::nullopt
                                    : std::optional(found->second.per_second);
}

// The entries with the lowest ordinals send. An entry that does not reach a
// majority of the fleet keeps to an equal share, since the others may elect
// senders among themselves.
std::optional<duration> request_limits::interval_of(const std::string& id,
                                                    state& limit, senders by,
                                                    instant now)
{
    if (!limit.position || now >= limit.position_at + position_lifetime)
    {
        limit.position = m_position_of(id);
        limit.position_at = now;
    }
    const bool is_only_sender = by == senders::this_entry;
    if (!limit.position && !is_only_sender)
        return std::nullopt;
    const fleet_position position = limit.position.value_or(fleet_position());
    const ordinal& own = position.own;
    const double rate = used_rate(limit.per_second);
    const std::size_t known = std::max(position.known_entries, own.count);
    if (known > 1 && 2 * own.count <= known)
        return to_interval(rate / static_cast<double>(known));
    if (is_only_sender)
        return to_interval(rate);
    const std::size_t count = sender_count(rate, own.count);
    return own.index < count
               ? std::optional(to_interval(rate / static_cast<double>(count)))
               : std::nullopt;
}

// Entries that learn of a limit at the same moment would all send at once: each
// starts at a random moment within its interval.
instant request_limits::next_send(const target_incarnation& target, senders by,
                                  instant now)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end())
        return now;
    state& limit = found->second;
    const auto interval = interval_of(target.id, limit, by, now);
    if (!interval)
        return instant::max();
    if (!limit.interval_start)
        limit.interval_start =
            now -
            duration(static_cast<duration::rep>(
                static_cast<double>(interval->count()) * m_random.fraction()));
    return std::max(now, *limit.interval_start + *interval);
}

// Unused requests do not accumulate: they would be sent in a burst later.
void request_limits::note_sent(const target_incarnation& target, instant now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.interval_start = now;
}

duration request_limits::interval(const target_incarnation& target, senders by,
                                  instant now)
{
    const auto found = m_targets.find(target);
    return found == m_targets.end()
               ? duration::zero()
               : interval_of(target.id, found->second, by, now)
                     .value_or(duration::zero());
}

void request_limits::retain(const target_directory& targets)
{
    std::erase_if(m_targets, [&targets](const auto& limit)
                  { return targets.find(limit.first) == nullptr; });
}

} // namespace mangofold::decision

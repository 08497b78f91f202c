#include "decision/request_limits.hpp"

#include "decision/election.hpp"

#include <algorithm>
#include <bit>
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

/// The lifetime of a limit that no response confirms: at least the first value,
/// and the second one for each entry of the fleet. The requests that entries
/// then send to find out whether it still applies arrive at this interval.
constexpr duration min_lifetime = std::chrono::seconds(30);
constexpr duration lifetime_per_entry = std::chrono::seconds(4);

/// How long the end of a limit is remembered: longer than other entries take to
/// pass on an older statement.
constexpr duration end_lifetime = std::chrono::seconds(60);

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
    if (per_second)
        return set(target, *per_second, now);
    const auto found = m_targets.find(target);
    if (found == m_targets.end() || sent_at <= found->second.stated_at)
        return false;
    return end(target, now);
}

bool request_limits::set(const target_incarnation& target, double per_second,
                         instant stated_at)
{
    m_ended.erase(target);
    const auto [entry, is_new] = m_targets.try_emplace(target);
    state& limit = entry->second;
    if (is_new)
        limit.lifetime_factor = 1 + m_random.fraction();
    const bool is_changed = is_new || limit.per_second != per_second;
    limit.per_second = per_second;
    limit.stated_at = stated_at;
    return is_changed;
}

bool request_limits::end(const target_incarnation& target, instant stated_at)
{
    m_ended[target] = stated_at;
    return m_targets.erase(target) > 0;
}

bool request_limits::merge(const limit_statement& statement, instant now)
{
    const instant stated_at = std::min(statement.stated_at, now);
    const auto ended = m_ended.find(statement.target);
    if (ended != m_ended.end() && ended->second >= stated_at)
        return false;
    const auto known = m_targets.find(statement.target);
    if (known != m_targets.end() && known->second.stated_at >= stated_at)
        return false;
    if (!statement.per_second)
        return end(statement.target, stated_at);
    if (stated_at + min_lifetime <= now)
        return false;
    return set(statement.target, *statement.per_second, stated_at);
}

std::vector<limit_statement> request_limits::statements() const
{
    std::vector<limit_statement> result;
    for (const auto& [target, limit] : m_targets)
        result.push_back({target, limit.per_second, limit.stated_at});
    for (const auto& [target, ended_at] : m_ended)
        result.push_back({target, std::nullopt, ended_at});
    return result;
}

// A sum, since entries hold the limits in any order.
std::uint64_t request_limits::digest() const
{
    std::uint64_t sum = 0;
    for (const auto& [target, limit] : m_targets)
        sum += election_rank(
            target.id,
            std::to_string(target.started_ms) + ":" +
                std::to_string(std::bit_cast<std::uint64_t>(limit.per_second)));
    return sum;
}

duration request_limits::lifetime(const state& limit) const
{
    const std::size_t entries =
        limit.position ? limit.position->known_entries : 1;
    const duration base = std::max(
        min_lifetime, lifetime_per_entry * static_cast<duration::rep>(entries));
    return duration(static_cast<duration::rep>(
        static_cast<double>(base.count()) * limit.lifetime_factor));
}

// Entries that send nothing to a target learn the end of its limit only from
// others, which may receive no requests for it. Without a lifetime the target
// would then stay limited for good.
void request_limits::expire(instant now)
{
    std::erase_if(
        m_targets, [&](const auto& limit)
        { return limit.second.stated_at + lifetime(limit.second) <= now; });
    std::erase_if(m_ended, [now](const auto& ended)
                  { return ended.second + end_lifetime <= now; });
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

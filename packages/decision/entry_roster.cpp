#include "decision/entry_roster.hpp"

#include "decision/election.hpp"

#include <algorithm>
#include <utility>

namespace mangofold::decision
{

namespace
{

/// An entry may batch for services if it has at least this share of the cores
/// of the largest entry, since a batching entry serves the whole fleet. In
/// fleets whose entries have a tenth to a half of a core, the small entries
/// were late by seconds as long as they batched or were probed by all others
/// ten times a second.
constexpr double min_share_of_largest = 0.5;

/// How often a batching entry is probed, and after how many probe intervals
/// without an answer its work goes to another entry. With fewer, a busy entry
/// counts as lost; with more, requests miss their latency goals.
constexpr duration short_interval = std::chrono::milliseconds(100);
constexpr int short_timeout_intervals = 5;

/// The same for all other entries, which are only needed as sources of targets
/// and configuration.
constexpr duration long_interval = std::chrono::seconds(1);
constexpr int long_timeout_intervals = 3;

/// The minimum probe intervals per entry of the fleet. They bound the number of
/// probes that one entry answers in a second, so that this load does not grow
/// with the fleet.
constexpr duration short_interval_per_entry = std::chrono::milliseconds(2);
constexpr duration long_interval_per_entry = std::chrono::milliseconds(30);

/// The minimum discovery time unless all seeds have answered. Entries that
/// start together do so within some tenths of a second, and the first of them
/// gets no answer for that long. After this time, or once all seeds have
/// answered, an entry assumes that it knows all others when it finds no new
/// entry between two probes of a seed.
constexpr duration min_discovery_time = 5 * short_interval;

/// The maximum discovery time, for a fleet in which new entries keep
/// appearing. Stages wait for the end of the discovery: this is the time of one
/// or two of their calls, and half of the time that most requests have in all.
constexpr duration max_discovery_time = std::chrono::seconds(1);

/// The share of the entries known to a settled entry that a new entry must know
/// to be settled too. The few missing entries seldom change an election, and
/// some of them may be gone.
constexpr double min_known_share = 0.75;

/// Entries that were told to stop within this time of each other count as
/// ending at the same time, since their reports of it are late by as much.
constexpr duration simultaneous_stop_window = short_interval;

/// The share of the fleet that must outlast this entry. A caller that this
/// entry refuses retries at any other entry. If so many entries stay up, few
/// callers meet a second entry that refuses them; most callers have no retry
/// left for that.
constexpr double min_remaining_share = 0.75;

/// Entries that were told to stop longer ago are forgotten once they are lost.
constexpr duration max_stop_time = std::chrono::minutes(1);

/// How many other entries are listed in an answer, and how many if the receiver
/// knows less than half of them: 4 KB at most.
constexpr std::size_t sample_size = 8;
constexpr std::size_t sample_size_for_new = 200;

} // namespace

void entry_roster::set_started(std::vector<std::string> seeds, instant now)
{
    std::erase(seeds, m_own_address);
    m_seeds = std::move(seeds);
    m_started_at = now;
    m_newest_at = now;
}

namespace
{

duration short_interval_for(std::size_t entries)
{
    return std::max(short_interval, short_interval_per_entry *
                                        static_cast<duration::rep>(entries));
}

} // namespace

duration entry_roster::scaled_short_interval() const
{
    return short_interval_for(size());
}

// Twice the time after which that entry, if it lives, has taken its jobs back.
duration entry_roster::job_silence_limit(std::size_t entries)
{
    return 2 * short_timeout_intervals * short_interval_for(entries);
}

// If all entries start at once, each knows only itself and a few others for
// some tenths of a second. If each batched for itself in that time, all would
// send their own calls to the same targets. The targets refuse most of these
// calls as full, the others hold a tenth of the pieces that they could, and the
// backlog takes seconds to work off.
bool entry_roster::is_discovering(instant now) const
{
    if (m_others.empty())
        return now < m_started_at + max_discovery_time;
    // Every new entry contacts the seeds first, so they know the others first.
    const bool have_seeds_answered = std::all_of(
        m_seeds.begin(), m_seeds.end(),
        [this](const std::string& seed) { return m_others.contains(seed); });
    const duration min_time =
        have_seeds_answered ? duration::zero() : min_discovery_time;
    const instant complete_at = std::max(m_newest_at + scaled_short_interval(),
                                         m_started_at + min_time);
    return now < std::min(complete_at, m_started_at + max_discovery_time);
}

// An entry that joins a running fleet waits only until it knows most of it.
bool entry_roster::is_settled(instant now) const
{
    if (m_seeds.empty() || !is_discovering(now))
        return true;
    return std::any_of(m_others.begin(), m_others.end(),
                       [this](const auto& other)
                       {
                           const entry_status& status = other.second;
                           return status.is_settled &&
                                  static_cast<double>(size()) >=
                                      min_known_share *
                                          static_cast<double>(
                                              status.known_entries);
                       });
}

void entry_roster::set_stopping(instant now)
{
    m_is_stopping = true;
    m_stopping_since = now;
    clear_elections();
}

void entry_roster::set_has_catalog(bool has_catalog)
{
    if (std::exchange(m_has_catalog, has_catalog) != has_catalog)
        clear_elections();
}

void entry_roster::note_answer(const std::string& address,
                               const entry_status& status, instant now)
{
    const auto [position, is_new] = m_others.try_emplace(address, status);
    if (is_new)
        m_newest_at = now;
    m_lost_stopping_since.erase(address);
    std::erase_if(m_lost_stopping_since, [now](const auto& lost)
                  { return lost.second + max_stop_time < now; });
    const entry_status before = std::exchange(position->second, status);
    if (status.is_stopping)
        m_others_stopping_since.try_emplace(address, now - status.stopping_for);
    else
        m_others_stopping_since.erase(address);
    if (is_new || before.cores != status.cores ||
        before.is_stopping != status.is_stopping ||
        before.has_catalog != status.has_catalog)
        clear_elections();
}

void entry_roster::note_stopping(const std::string& address, instant now)
{
    const auto found = m_others.find(address);
    if (found == m_others.end())
        return;
    m_others_stopping_since.try_emplace(address, now);
    if (!std::exchange(found->second.is_stopping, true))
        clear_elections();
}

bool entry_roster::has_remaining_peers() const
{
    const auto remains = [this](const auto& other)
    {
        const auto since = m_others_stopping_since.find(other.first);
        return since == m_others_stopping_since.end() ||
               since->second > m_stopping_since + simultaneous_stop_window;
    };
    const auto count = static_cast<std::size_t>(
        std::count_if(m_others.begin(), m_others.end(), remains));
    return static_cast<double>(count) >=
           min_remaining_share * static_cast<double>(size());
}

void entry_roster::note_lost(const std::string& address)
{
    const auto stopping = m_others_stopping_since.find(address);
    if (stopping != m_others_stopping_since.end())
    {
        m_lost_stopping_since[address] = stopping->second;
        m_others_stopping_since.erase(stopping);
    }
    if (m_others.erase(address) > 0)
        clear_elections();
}

void entry_roster::set_services(std::vector<std::string> services)
{
    m_services = std::move(services);
}

// Work for others delays the exit. Entries that were told to stop first end
// as soon as their own callers are answered, and so serve again soonest.
void entry_roster::keep_latest_to_stop(
    std::vector<std::pair<std::string, double>>& entries) const
{
    std::vector<instant> times;
    times.reserve(entries.size());
    for (const auto& [address, cores] : entries)
        times.push_back(stopping_since(address));
    const auto median =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), median, times.end());
    const instant earliest = *median - simultaneous_stop_window;
    std::erase_if(entries, [&](const auto& entry)
                  { return stopping_since(entry.first) < earliest; });
}

// A stopping entry batches only if no other entry can. In a restart of the
// whole fleet that is quicker than its entries end, all entries are stopping,
// and if each batched for itself, no call would be filled. An entry that has
// just started would fail all work until it knows the targets.
std::vector<std::pair<std::string, double>>
entry_roster::eligible_entries() const
{
    const auto eligibility = [](bool has_catalog, bool is_stopping)
    { return std::pair(has_catalog, !is_stopping); };
    auto best = eligibility(m_has_catalog, m_is_stopping);
    std::vector<std::pair<std::string, double>> eligible{
        {m_own_address, m_cores}};
    for (const auto& [address, status] : m_others)
    {
        const auto other = eligibility(status.has_catalog, status.is_stopping);
        if (other > best)
            eligible.clear();
        best = std::max(best, other);
        if (other == best)
            eligible.emplace_back(address, status.cores);
    }
    const bool are_stopping = !best.second;
    if (are_stopping)
        keep_latest_to_stop(eligible);
    return eligible;
}

const std::string&
entry_roster::batching_entry(const std::string& service) const
{
    const auto known = m_elected.find(service);
    if (known != m_elected.end())
        return known->second;
    const auto eligible = eligible_entries();
    double largest = 0;
    for (const auto& [address, cores] : eligible)
        largest = std::max(largest, cores);
    std::vector<std::string> candidates;
    for (const auto& [address, cores] : eligible)
        if (cores >= largest * min_share_of_largest)
            candidates.push_back(address);
    return m_elected.emplace(service, elected(service, candidates))
        .first->second;
}

ordinal entry_roster::ordinal_for(const std::string& key) const
{
    const std::uint64_t own = election_rank(key, m_own_address);
    const auto before =
        std::count_if(m_others.begin(), m_others.end(),
                      [&](const auto& other)
                      { return election_rank(key, other.first) < own; });
    return {static_cast<std::size_t>(before), size()};
}

bool entry_roster::is_batching(const std::string& address) const
{
    return std::any_of(m_services.begin(), m_services.end(),
                       [&](const std::string& service)
                       { return batching_entry(service) == address; });
}

std::vector<std::string> entry_roster::remaining_entries() const
{
    std::vector<std::string> remaining;
    for (const auto& [address, status] : m_others)
        if (!status.is_stopping)
            remaining.push_back(address);
    return remaining;
}

std::vector<std::string> entry_roster::sample(std::size_t known_entries,
                                              random_source& random) const
{
    const bool is_new = known_entries < size() / 2;
    const std::size_t max_count = is_new ? sample_size_for_new : sample_size;
    std::vector<std::string> found;
    if (!m_is_stopping)
        found.push_back(m_own_address);
    if (m_others.empty())
        return found;
    // Consecutive entries from a random one on, so that repeated samples cover
    // all entries.
    const std::size_t count = std::min(max_count, m_others.size());
    auto next =
        std::next(m_others.begin(),
                  static_cast<std::ptrdiff_t>(random.below(m_others.size())));
    for (std::size_t taken = 0; taken < count; ++taken)
    {
        found.push_back(next->first);
        if (++next == m_others.end())
            next = m_others.begin();
    }
    return found;
}

entry_roster::probe_schedule
entry_roster::probe_schedule_for(const std::string& address, bool holds_work,
                                 instant now) const
{
    const auto entries = static_cast<duration::rep>(size());
    // All new entries contact the seeds, so the seeds know the others first.
    const bool is_discovery_seed =
        !is_settled(now) &&
        std::find(m_seeds.begin(), m_seeds.end(), address) != m_seeds.end();
    if (holds_work || is_discovery_seed || is_batching(address))
    {
        const duration interval = scaled_short_interval();
        return {interval, interval * short_timeout_intervals};
    }
    const duration interval =
        std::max(long_interval, long_interval_per_entry * entries);
    return {interval, interval * long_timeout_intervals};
}

} // namespace mangofold::decision

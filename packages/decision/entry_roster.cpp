#include "decision/entry_roster.hpp"

#include "decision/election.hpp"

#include <algorithm>
#include <utility>

namespace mangofold::decision
{

namespace
{

/// An entry gathers where it has at least this share of the processor of the
/// largest one. A gatherer answers for the whole fleet. Where entries have a
/// tenth to a half of a core, the small ones were late by seconds until they
/// neither gathered nor were asked ten times a second by all others.
constexpr double enough_of_largest = 0.5;

/// How often an entry that gathers is asked whether it is there, and the time
/// after which its work goes elsewhere: five questions. Less takes a busy
/// entry for a dead one, more costs requests their aim.
constexpr duration close_interval = std::chrono::milliseconds(100);
constexpr int close_questions = 5;

/// The same for all others, which matter only for what they know of targets
/// and configuration.
constexpr duration far_interval = std::chrono::seconds(1);
constexpr int far_questions = 3;

/// Questions that one entry answers in a second at most, so that the load of
/// being watched does not grow with the fleet.
constexpr duration per_asker_close = std::chrono::milliseconds(2);
constexpr duration per_asker_far = std::chrono::milliseconds(30);

/// Entries that start together do so within some tenths of a second, so that
/// one that started first hears of nobody for as long. After that, or once all
/// seeds have answered, nobody new between two questions to a seed says that
/// all have been heard of.
constexpr duration least_settling = 5 * close_interval;

/// Stages wait this long at most for a fleet that never comes to rest: a call
/// or two of theirs, half of what most requests may take in all.
constexpr duration longest_settling = std::chrono::seconds(1);

/// The share of a settled entry's fleet that a new one knows before it says
/// who gathers: the few that are missing seldom change an election, and some
/// may be gone.
constexpr double enough_known = 0.75;

/// Entries told to stop within this time of each other end at the same time:
/// what they say of it is late by as much.
constexpr duration told_together = close_interval;

/// A caller that is sent elsewhere comes to any other entry. Where this share
/// of all go on, few callers meet a second one that sends them away, for which
/// most have no further try.
constexpr double enough_outlast = 0.75;

/// How many other entries one tells of at a time, and how many where the
/// other knows less than half of them: 4 KB at most.
constexpr std::size_t told_at_once = 8;
constexpr std::size_t told_to_new = 200;

} // namespace

void entry_roster::set_started(std::vector<std::string> seeds, instant now)
{
    std::erase(seeds, m_own);
    m_seeds = std::move(seeds);
    m_started_at = now;
    m_newest_at = now;
}

duration entry_roster::close_interval_of_all() const
{
    return std::max(close_interval,
                    per_asker_close * static_cast<duration::rep>(size()));
}

// Where all entries start at once, each knows itself and a few others for
// some tenths of a second. Gathering in that time, each sends its own calls
// to the same targets: they refuse most of them as full, the others hold a
// tenth of what they could, and the backlog takes seconds to work off.
bool entry_roster::is_young(instant now) const
{
    if (m_others.empty())
        return now < m_started_at + longest_settling;
    // The seeds hear of everybody first.
    const bool have_seeds_answered = std::all_of(
        m_seeds.begin(), m_seeds.end(),
        [this](const std::string& one) { return m_others.contains(one); });
    const duration least =
        have_seeds_answered ? duration::zero() : least_settling;
    const instant calm =
        std::max(m_newest_at + close_interval_of_all(), m_started_at + least);
    return now < std::min(calm, m_started_at + longest_settling);
}

// One that starts in a fleet that goes on waits only until it knows most of
// it.
bool entry_roster::is_settled(instant now) const
{
    if (m_seeds.empty() || !is_young(now))
        return true;
    return std::any_of(m_others.begin(), m_others.end(),
                       [this](const auto& one)
                       {
                           const standing& said = one.second;
                           return said.is_settled &&
                                  static_cast<double>(size()) >=
                                      enough_known *
                                          static_cast<double>(said.known);
                       });
}

void entry_roster::set_stopping(instant now)
{
    m_is_stopping = true;
    m_stopping_since = now;
    forget_elections();
}

void entry_roster::set_has_catalog(bool has_it)
{
    if (std::exchange(m_has_catalog, has_it) != has_it)
        forget_elections();
}

void entry_roster::note_answer(const std::string& address, const standing& said,
                               instant now)
{
    const auto [at, is_new] = m_others.try_emplace(address, said);
    if (is_new)
        m_newest_at = now;
    const standing before = std::exchange(at->second, said);
    if (said.is_stopping)
        m_others_stopping.try_emplace(address, now - said.stopping_for);
    else
        m_others_stopping.erase(address);
    if (is_new || before.cores != said.cores ||
        before.is_stopping != said.is_stopping ||
        before.has_catalog != said.has_catalog)
        forget_elections();
}

void entry_roster::note_stopping(const std::string& address, instant now)
{
    const auto found = m_others.find(address);
    if (found == m_others.end())
        return;
    m_others_stopping.try_emplace(address, now);
    if (!std::exchange(found->second.is_stopping, true))
        forget_elections();
}

bool entry_roster::is_outlasted() const
{
    const auto goes_on = [this](const auto& one)
    {
        const auto since = m_others_stopping.find(one.first);
        return since == m_others_stopping.end() ||
               since->second > m_stopping_since + told_together;
    };
    const auto count = static_cast<std::size_t>(
        std::count_if(m_others.begin(), m_others.end(), goes_on));
    return static_cast<double>(count) >=
           enough_outlast * static_cast<double>(size());
}

void entry_roster::note_lost(const std::string& address)
{
    m_others_stopping.erase(address);
    if (m_others.erase(address) > 0)
        forget_elections();
}

void entry_roster::set_services(std::vector<std::string> services)
{
    m_services = std::move(services);
}

// One that is about to end gathers only where no other could: in a restart of
// the whole fleet that is quicker than its entries end, all of them are, and
// each gathering for itself would fill no call. One that has just started
// could only fail what it is asked for until it knows the targets.
std::vector<std::pair<std::string, double>> entry_roster::able_to_gather() const
{
    const auto fitness = [](bool has_catalog, bool is_stopping)
    { return std::pair(has_catalog, !is_stopping); };
    auto best = fitness(m_has_catalog, m_is_stopping);
    std::vector<std::pair<std::string, double>> able{{m_own, m_cores}};
    for (const auto& [address, one] : m_others)
    {
        const auto its = fitness(one.has_catalog, one.is_stopping);
        if (its > best)
            able.clear();
        best = std::max(best, its);
        if (its == best)
            able.emplace_back(address, one.cores);
    }
    return able;
}

const std::string& entry_roster::gatherer_of(const std::string& service) const
{
    const auto known = m_elected.find(service);
    if (known != m_elected.end())
        return known->second;
    const auto able = able_to_gather();
    double largest = 0;
    for (const auto& [address, cores] : able)
        largest = std::max(largest, cores);
    std::vector<std::string> candidates;
    for (const auto& [address, cores] : able)
        if (cores >= largest * enough_of_largest)
            candidates.push_back(address);
    return m_elected.emplace(service, elected(service, candidates))
        .first->second;
}

seat entry_roster::seat_for(const std::string& matter) const
{
    const std::uint64_t own = election_rank(matter, m_own);
    const auto before =
        std::count_if(m_others.begin(), m_others.end(),
                      [&](const auto& one)
                      { return election_rank(matter, one.first) < own; });
    return {static_cast<std::size_t>(before), size()};
}

bool entry_roster::is_gathering(const std::string& address) const
{
    return std::any_of(m_services.begin(), m_services.end(),
                       [&](const std::string& service)
                       { return gatherer_of(service) == address; });
}

std::vector<std::string> entry_roster::some(std::size_t known,
                                            random_source& random) const
{
    const bool is_new_here = known < size() / 2;
    const std::size_t most = is_new_here ? told_to_new : told_at_once;
    std::vector<std::string> found;
    if (!m_is_stopping)
        found.push_back(m_own);
    if (m_others.empty())
        return found;
    // A run of neighbours from a random place: in time, all are told.
    const std::size_t count = std::min(most, m_others.size());
    auto at =
        std::next(m_others.begin(),
                  static_cast<std::ptrdiff_t>(random.below(m_others.size())));
    for (std::size_t taken = 0; taken < count; ++taken)
    {
        found.push_back(at->first);
        if (++at == m_others.end())
            at = m_others.begin();
    }
    return found;
}

entry_roster::watch entry_roster::watch_of(const std::string& address,
                                           bool holds_work, instant now) const
{
    const auto askers = static_cast<duration::rep>(size());
    // All new entries make themselves known to the seeds, so those know of
    // the others first.
    const bool tells_of_others =
        !is_settled(now) &&
        std::find(m_seeds.begin(), m_seeds.end(), address) != m_seeds.end();
    if (holds_work || tells_of_others || is_gathering(address))
    {
        const duration interval = close_interval_of_all();
        return {interval, interval * close_questions};
    }
    const duration interval = std::max(far_interval, per_asker_far * askers);
    return {interval, interval * far_questions};
}

} // namespace mangofold::decision

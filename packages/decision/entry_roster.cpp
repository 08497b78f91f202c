#include "decision/entry_roster.hpp"

#include "decision/election.hpp"

#include <algorithm>

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

} // namespace

void entry_roster::set_stopping()
{
    m_is_stopping = true;
    forget_elections();
}

void entry_roster::note_answer(const std::string& address, double cores,
                               bool is_stopping)
{
    const other seen{cores, is_stopping};
    const auto [at, is_new] = m_others.try_emplace(address, seen);
    if (!is_new && at->second == seen)
        return;
    at->second = seen;
    forget_elections();
}

void entry_roster::note_lost(const std::string& address)
{
    if (m_others.erase(address) > 0)
        forget_elections();
}

void entry_roster::set_services(std::vector<std::string> services)
{
    m_services = std::move(services);
}

const std::string& entry_roster::gatherer_of(const std::string& service) const
{
    const auto known = m_elected.find(service);
    if (known != m_elected.end())
        return known->second;
    // One that is about to end gathers only where nobody else is left.
    std::vector<std::pair<std::string, double>> able;
    for (const auto& [address, one] : m_others)
        if (!one.is_stopping)
            able.emplace_back(address, one.cores);
    if (!m_is_stopping || able.empty())
        able.emplace_back(m_own, m_cores);
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

bool entry_roster::is_gathering(const std::string& address) const
{
    return std::any_of(m_services.begin(), m_services.end(),
                       [&](const std::string& service)
                       { return gatherer_of(service) == address; });
}

std::vector<std::string> entry_roster::some(std::size_t most,
                                            random_source& random) const
{
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
                                           bool holds_work) const
{
    const auto askers = static_cast<duration::rep>(size());
    if (holds_work || is_gathering(address))
    {
        const duration interval =
            std::max(close_interval, per_asker_close * askers);
        return {interval, interval * close_questions};
    }
    const duration interval = std::max(far_interval, per_asker_far * askers);
    return {interval, interval * far_questions};
}

} // namespace mangofold::decision

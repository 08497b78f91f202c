#include "decision/streams/origin_records.hpp"

#include <algorithm>
#include <iterator>

namespace mangofold::decision
{

void origin_records::note(const stream_key& key, const record& known)
{
    const auto [position, is_new] =
        m_records.try_emplace(key, stored_record{known, {}});
    record& present = position->second.known;
    if (!is_new)
    {
        if (present.origin != known.origin || known.is_ambiguous)
            present.is_ambiguous = true;
        if (known.expires_at <= present.expires_at)
            return;
        m_by_expiry.erase({present.expires_at, key});
        present.expires_at = known.expires_at;
    }
    m_by_expiry.emplace(present.expires_at, key);
    if (m_records.size() <= m_capacity)
        return;
    m_records.erase(m_by_expiry.begin()->second);
    m_by_expiry.erase(m_by_expiry.begin());
}

const origin_records::record* origin_records::find(const stream_key& key,
                                                   instant now) const
{
    const auto found = m_records.find(key);
    const bool is_known =
        found != m_records.end() && found->second.known.expires_at > now;
    return is_known ? &found->second.known : nullptr;
}

bool origin_records::set_entries(std::vector<std::string> addresses)
{
    return m_placement.set_entries(std::move(addresses));
}

bool origin_records::set_keepers(std::vector<std::string> addresses,
                                 std::set<std::string> confirmed)
{
    const bool is_one_lost =
        !std::ranges::includes(confirmed, m_confirmed_keepers);
    m_confirmed_keepers = std::move(confirmed);
    return m_keeper_placement.set_entries(std::move(addresses)) || is_one_lost;
}

void origin_records::note_lost(const std::string& address)
{
    for (auto& [key, stored] : m_records)
        stored.sent_to.erase(address);
}

void origin_records::resend(const stream_key& key)
{
    const auto found = m_records.find(key);
    if (found != m_records.end())
        found->second.sent_to.clear();
}

std::vector<std::string> origin_records::take_new_holders(const stream_key& key)
{
    const auto found = m_records.find(key);
    if (found == m_records.end())
        return {};
    const std::vector<std::string> keepers =
        m_keeper_placement.holders(key, keeper_copies);
    const bool are_confirmed =
        keepers.size() == keeper_copies &&
        std::ranges::all_of(keepers, [this](const std::string& keeper)
                            { return m_confirmed_keepers.contains(keeper); });
    std::vector<std::string> holders = m_placement.holders(
        key, are_confirmed ? copies_beside_keepers : copies);
    std::ranges::copy(keepers, std::back_inserter(holders));
    std::erase_if(holders,
                  [&sent_to = found->second.sent_to](const std::string& holder)
                  { return !sent_to.insert(holder).second; });
    return holders;
}

// The entry that placed the copies left itself out, and this entry leaves
// itself out, so the holders are among one more here. The entry may also have
// passed over keepers that did not respond to it.
std::vector<std::string>
origin_records::likely_holders(const stream_key& key) const
{
    std::vector<std::string> holders = m_placement.holders(key, copies + 1);
    std::ranges::move(m_keeper_placement.holders(key, keeper_copies + 2),
                      std::back_inserter(holders));
    return holders;
}

std::vector<stream_key> origin_records::keys() const
{
    std::vector<stream_key> result;
    result.reserve(m_records.size());
    for (const auto& [key, stored] : m_records)
        result.push_back(key);
    return result;
}

void origin_records::expire(instant now)
{
    while (!m_by_expiry.empty() && m_by_expiry.begin()->first <= now)
    {
        m_records.erase(m_by_expiry.begin()->second);
        m_by_expiry.erase(m_by_expiry.begin());
    }
}

} // namespace mangofold::decision

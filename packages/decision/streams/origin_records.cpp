#include "decision/streams/origin_records.hpp"

#include <algorithm>
#include <iterator>

namespace mangofold::decision
{

void origin_records::note(const stream_key& key, const record& known)
{
    const auto [position, is_new] =
        m_records.try_emplace(key, stored_record{known, {}});
    stored_record& stored = position->second;
    record& present = stored.known;
    const record before = present;
    if (present.origin != known.origin || known.is_ambiguous)
        present.is_ambiguous = true;
    present.expires_at = std::max(present.expires_at, known.expires_at);
    if (!is_new && present == before)
        return;
    note_change(key, stored);
    m_by_expiry.erase({before.expires_at, key});
    m_by_expiry.emplace(present.expires_at, key);
    if (m_records.size() > m_capacity)
        forget_first_to_expire();
}

void origin_records::note_change(const stream_key& key, stored_record& stored)
{
    m_by_change.erase(stored.change);
    stored.change = ++m_last_change;
    m_by_change.emplace(stored.change, key);
}

void origin_records::forget_first_to_expire()
{
    const auto first = m_by_expiry.begin();
    const auto found = m_records.find(first->second);
    m_by_change.erase(found->second.change);
    m_records.erase(found);
    m_by_expiry.erase(first);
}

// A record that began while this entry ran was placed by its owner, and this
// entry has noticed the loss of a holder since. One that is older may have lost
// its owner and a holder unnoticed, and one that is not at its holders was
// handed on, or they have changed.
bool origin_records::adopt(const stream_key& key, const record& known,
                           const std::string& keeper, instant owned_since)
{
    const bool is_owned = m_records.contains(key);
    note(key, known);
    const auto found = m_records.find(key);
    if (found == m_records.end())
        return false;
    found->second.sent_to.insert(keeper);
    if (is_owned)
        return false;
    const auto keepers = m_keeper_placement.holders(key, keeper_copies);
    if (known.began_at < owned_since || !std::ranges::count(keepers, keeper))
        return true;
    take_new_holders(key);
    return false;
}

std::vector<origin_records::keyed_record>
origin_records::changes_after(std::uint64_t& last_change,
                              std::size_t max_count) const
{
    std::vector<keyed_record> changes;
    for (auto change = m_by_change.upper_bound(last_change);
         change != m_by_change.end() && changes.size() < max_count; ++change)
    {
        last_change = change->first;
        changes.emplace_back(change->second,
                             m_records.at(change->second).known);
    }
    return changes;
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

std::set<std::string> origin_records::holders(const stream_key& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? std::set<std::string>()
                                    : found->second.sent_to;
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
        forget_first_to_expire();
}

} // namespace mangofold::decision

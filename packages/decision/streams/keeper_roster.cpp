#include "decision/streams/keeper_roster.hpp"

#include <algorithm>

namespace mangofold::decision
{

void keeper_roster::set_listed(const std::set<std::string>& addresses)
{
    std::erase_if(m_keepers, [&addresses](const auto& known)
                  { return !addresses.contains(known.first); });
    std::erase_if(m_messages, [&addresses](const auto& sent)
                  { return !addresses.contains(sent.second.to); });
    for (const std::string& address : addresses)
        m_keepers.try_emplace(address);
}

std::vector<std::string> keeper_roster::candidates(instant now) const
{
    std::vector<std::string> addresses;
    addresses.reserve(m_keepers.size());
    for (const auto& [address, known] : m_keepers)
        if (!known.is_silent(now))
            addresses.push_back(address);
    return addresses;
}

std::set<std::string> keeper_roster::confirmed(instant now) const
{
    std::set<std::string> addresses;
    for (const auto& [address, known] : m_keepers)
        if (known.born && !known.is_silent(now))
            addresses.insert(addresses.end(), address);
    return addresses;
}

std::optional<std::string> keeper_roster::next_probe(instant now) const
{
    const keeper* oldest = nullptr;
    std::optional<std::string> next;
    for (const auto& [address, known] : m_keepers)
        if (known.born && !known.is_silent(now) &&
            known.used_at + probe_age <= now &&
            (oldest == nullptr || known.used_at < oldest->used_at))
        {
            oldest = &known;
            next = address;
        }
    return next;
}

void keeper_roster::note_sent(const std::string& address, std::uint64_t number,
                              instant now)
{
    const auto found = m_keepers.find(address);
    if (found == m_keepers.end())
        return;
    found->second.used_at = now;
    m_messages[number] = {address, now, 1};
}

bool keeper_roster::note_reply(const std::string& address, std::uint64_t number,
                               std::uint64_t born, instant now)
{
    const auto found = m_keepers.find(address);
    if (found == m_keepers.end())
        return false;
    const auto sent = m_messages.find(number);
    if (sent != m_messages.end() && sent->second.to == address)
        m_messages.erase(sent);
    keeper& known = found->second;
    known.used_at = now;
    known.silent_until.reset();
    known.rest = first_rest;
    const bool has_restarted = known.born && *known.born != born;
    known.born = born;
    return has_restarted;
}

keeper_roster::overdue_messages keeper_roster::take_overdue(instant now)
{
    overdue_messages overdue;
    for (auto sent = m_messages.begin(); sent != m_messages.end();)
    {
        auto& [number, waiting] = *sent;
        if (now < waiting.sent_at + reply_time)
        {
            ++sent;
            continue;
        }
        if (waiting.sends < max_sends)
        {
            ++waiting.sends;
            waiting.sent_at = now;
            overdue.to_resend.push_back(number);
            ++sent;
            continue;
        }
        keeper& known = m_keepers.at(waiting.to);
        if (!known.is_silent(now))
        {
            known.silent_until = now + known.rest;
            known.rest = std::min(2 * known.rest, longest_rest);
            overdue.silent.insert(waiting.to);
        }
        overdue.given_up.push_back(number);
        sent = m_messages.erase(sent);
    }
    return overdue;
}

} // namespace mangofold::decision

#include "decision/streams/record_handover.hpp"

#include "decision/election.hpp"

#include <algorithm>
#include <tuple>

namespace mangofold::decision
{

namespace
{

/// Successors are chosen among this many of the newest candidates, or among
/// this fraction of them if that is more. Otherwise keepers that stop at the
/// same time would all choose the same ones.
constexpr std::size_t min_choice = 8;
constexpr std::size_t choice_share = 8;

} // namespace

std::vector<std::string>
successors_of(const std::string& keeper,
              std::vector<successor_candidate> candidates)
{
    std::erase_if(candidates, [&keeper](const successor_candidate& candidate)
                  { return candidate.address == keeper; });
    std::ranges::sort(
        candidates, std::ranges::greater(),
        [](const successor_candidate& candidate)
        { return std::tie(candidate.started_ms, candidate.revision); });
    const std::size_t choice =
        std::max(min_choice, candidates.size() / choice_share);
    candidates.resize(std::min(candidates.size(), choice));
    std::ranges::sort(candidates, std::ranges::greater(),
                      [&keeper](const successor_candidate& candidate)
                      { return election_rank(keeper, candidate.address); });
    std::vector<std::string> addresses;
    for (const successor_candidate& candidate : candidates)
        if (addresses.size() < record_handover::max_successors)
            addresses.push_back(candidate.address);
    return addresses;
}

record_handover::record_handover(const std::vector<std::string>& successors,
                                 std::size_t parts, instant now)
    : m_parts(parts), m_started_at(now)
{
    for (const std::string& address : successors)
        m_successors.push_back({address, std::vector<part_state>(parts)});
}

bool record_handover::successor::has_all() const
{
    return std::ranges::all_of(parts, &part_state::is_confirmed);
}

std::vector<record_handover::message> record_handover::take_due(instant now)
{
    std::vector<message> messages;
    std::size_t receiving = 0;
    for (std::size_t index = 0; index < m_successors.size(); ++index)
    {
        if (receiving == receivers)
            break;
        if (!m_successors[index].is_silent)
            send_parts(index, now, messages);
        receiving += m_successors[index].is_silent ? 0 : 1;
    }
    return messages;
}

void record_handover::send_parts(std::size_t index, instant now,
                                 std::vector<message>& messages)
{
    successor& receiver = m_successors[index];
    std::size_t on_way = 0;
    for (std::size_t part = 0; part < m_parts; ++part)
    {
        part_state& state = receiver.parts[part];
        if (state.is_confirmed)
            continue;
        if (++on_way > max_parts_on_way)
            return;
        if (state.sends > 0 && now < state.sent_at + reply_time)
            continue;
        if (state.sends == max_sends)
        {
            receiver.is_silent = true;
            return;
        }
        ++state.sends;
        state.sent_at = now;
        messages.push_back(
            {index * m_parts + part + 1, receiver.address, part});
    }
}

void record_handover::note_reply(const std::string& address,
                                 std::uint64_t number)
{
    if (number == 0 || number > m_successors.size() * m_parts)
        return;
    successor& receiver = m_successors[(number - 1) / m_parts];
    if (receiver.address == address)
        receiver.parts[(number - 1) % m_parts].is_confirmed = true;
}

bool record_handover::is_done(instant now) const
{
    const std::size_t wanted =
        std::min(receivers, m_successors.size() - silent().size());
    return m_parts == 0 || now >= m_started_at + time_limit ||
           confirmed().size() >= wanted;
}

std::vector<std::string> record_handover::confirmed() const
{
    std::vector<std::string> addresses;
    for (const successor& receiver : m_successors)
        if (receiver.has_all())
            addresses.push_back(receiver.address);
    return addresses;
}

std::vector<std::string> record_handover::silent() const
{
    std::vector<std::string> addresses;
    for (const successor& receiver : m_successors)
        if (receiver.is_silent)
            addresses.push_back(receiver.address);
    return addresses;
}

} // namespace mangofold::decision

#include "decision/streams/record_adoption.hpp"

#include "decision/digest.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mangofold::decision
{

// The progress at keepers that another entry reads for a while is kept, so that
// they are not read again from the start when that entry is lost.
void record_adoption::set_processes(const std::string& own,
                                    std::vector<std::string> others,
                                    std::vector<std::string> keepers)
{
    if (own == m_address && others == m_others && keepers == m_candidates)
        return;
    m_address = own;
    m_others = std::move(others);
    m_candidates = std::move(keepers);
    std::vector<std::string> entries = m_others;
    entries.push_back(own);
    copy_placement readers;
    readers.set_entries(std::move(entries));
    m_own.clear();
    for (const std::string& address : m_candidates)
        if (readers.holders(digest_of(address), 1).front() == own)
            m_own.insert(address);
    const std::set<std::string> listed(m_candidates.begin(),
                                       m_candidates.end());
    std::erase_if(m_keepers, [&listed](const auto& known)
                  { return !listed.contains(known.first); });
    for (const std::string& address : m_own)
        m_keepers.try_emplace(address);
}

void record_adoption::refill(instant now)
{
    const double passed_s =
        std::chrono::duration<double>(
            now - std::exchange(m_refilled_at, now).value_or(now))
            .count();
    const auto add = [passed_s](std::int64_t& budget, std::int64_t per_second)
    {
        budget =
            std::min(per_second,
                     budget + static_cast<std::int64_t>(
                                  passed_s * static_cast<double>(per_second)));
    };
    add(m_reading_budget, reading_bytes_per_second);
    add(m_placing_budget, placing_bytes_per_second);
}

// An entry that reads the keepers of a whole fleet would otherwise spend all on
// questions that bring nothing.
duration record_adoption::poll_interval() const
{
    const double bytes =
        static_cast<double>(m_own.size()) * question_bytes * max_idle_share;
    const std::chrono::duration<double> affordable(bytes /
                                                   reading_bytes_per_second);
    return std::max(interval, std::chrono::duration_cast<duration>(affordable));
}

// Those that have waited longest come first, so that none is left out while
// others have much to tell.
std::vector<record_adoption::question> record_adoption::take_due(instant now)
{
    refill(now);
    std::vector<std::pair<instant, std::string>> due;
    for (const std::string& address : m_own)
        if (const keeper& known = m_keepers.at(address); known.due_at <= now)
            due.emplace_back(known.due_at, address);
    std::ranges::sort(due);
    std::vector<question> questions;
    for (const auto& [since, address] : due)
    {
        if (m_reading_budget <= 0)
            break;
        keeper& asked = m_keepers.at(address);
        const bool is_quick = ++asked.unanswered <= max_quick_questions;
        asked.due_at = now + (is_quick ? reply_time : poll_interval());
        m_reading_budget -= question_bytes;
        questions.push_back({address, asked.after});
    }
    return questions;
}

// What another process at the same address had added is gone, and its numbers
// say nothing of this one.
void record_adoption::note_reply(const std::string& address, std::uint64_t born,
                                 std::uint64_t next, std::size_t count,
                                 instant now)
{
    const auto found = m_keepers.find(address);
    if (found == m_keepers.end())
        return;
    keeper& known = found->second;
    m_reading_budget -= record_bytes * static_cast<std::int64_t>(count);
    const bool has_restarted = known.born && *known.born != born;
    known.born = born;
    known.unanswered = 0;
    known.after = has_restarted ? 0 : std::max(known.after, next);
    known.due_at = has_restarted || count > 0 ? now : now + poll_interval();
}

// Placing also takes what reading leaves.
std::vector<stream_key> record_adoption::take_unplaced(instant now)
{
    refill(now);
    constexpr std::int64_t kept_for_reading = reading_bytes_per_second / 2;
    std::vector<stream_key> keys;
    while (!m_unplaced.empty())
    {
        std::int64_t& budget =
            m_placing_budget > 0 ? m_placing_budget : m_reading_budget;
        if (&budget == &m_reading_budget && budget <= kept_for_reading)
            break;
        keys.push_back(*m_unplaced.begin());
        m_unplaced.erase(m_unplaced.begin());
        budget -= placement_bytes;
    }
    return keys;
}

} // namespace mangofold::decision

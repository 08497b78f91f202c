#include "decision/admission/memory_account.hpp"

#include <iterator>
#include <utility>

namespace mangofold::decision
{

memory_account::memory_account(std::size_t process_bytes)
{
    set_process_bytes(process_bytes);
}

// A third of the memory is left for everything that is no body: the program,
// its tables, and the buffers of connections. Of this third, a quarter is for
// the assured parts of answers and a third for the bodies that wait. A quarter
// of the rest is for answers only, or requests could leave no room for the
// answers to those that run.
void memory_account::set_process_bytes(std::size_t process_bytes)
{
    const std::size_t process_reserve = process_bytes / 3;
    m_capacity = process_bytes - process_reserve;
    m_assured_reserve = process_reserve / 4;
    m_request_capacity = m_capacity - m_capacity / 4;
    m_max_waiting = process_reserve / 3 / bytes_per_waiting;
    grant_waiting();
}

bool memory_account::fits_request(std::size_t bytes) const
{
    return m_capacity == 0 || (m_taken <= m_request_capacity &&
                               bytes <= m_request_capacity - m_taken);
}

// Of equally urgent bodies the shortest goes first, which serves the most
// callers. A body doesn't go ahead of one before it that doesn't fit yet, or a
// long urgent one would never find room.
std::optional<memory_account::place>
memory_account::request(const urgency& rank, std::size_t bytes,
                        decision_handler decided)
{
    const place own{rank, bytes, ++m_last_number};
    const bool is_next = m_waiting.empty() || own < m_waiting.begin()->first;
    if (is_next && fits_request(bytes))
    {
        m_taken += bytes;
        decided(true);
        return std::nullopt;
    }
    if (m_max_waiting == 0 || bytes > m_request_capacity)
    {
        decided(false);
        return std::nullopt;
    }
    m_waiting.emplace(own, std::move(decided));
    if (m_waiting.size() <= m_max_waiting)
        return own;
    auto last = m_waiting.extract(std::prev(m_waiting.end()));
    last.mapped()(false);
    return last.key() == own ? std::nullopt : std::optional(own);
}

void memory_account::stop_waiting(const place& waiting)
{
    m_waiting.erase(waiting);
    grant_waiting();
}

bool memory_account::grow_request(std::size_t bytes)
{
    if (!fits_request(bytes))
        return false;
    m_taken += bytes;
    return true;
}

bool memory_account::resize_answer(std::size_t from, std::size_t to,
                                   std::size_t shared_from,
                                   std::size_t shared_to)
{
    const std::size_t shared = m_shared_by_answers - shared_from + shared_to;
    const std::size_t taken = m_taken - from + to;
    const bool grows_shared = shared_to > shared_from;
    const std::size_t limit =
        grows_shared ? m_capacity : m_capacity + m_assured_reserve;
    const bool has_room = (m_capacity == 0 || taken <= limit) &&
                          (!grows_shared || shared <= max_answer_bytes);
    if (!has_room && to > from)
        return false;
    m_shared_by_answers = shared;
    m_taken = taken;
    if (to < from)
        grant_waiting();
    return true;
}

void memory_account::give_back(std::size_t bytes)
{
    m_taken -= bytes;
    grant_waiting();
}

void memory_account::grant_waiting()
{
    while (!m_waiting.empty() && fits_request(m_waiting.begin()->first.bytes))
    {
        const auto first = m_waiting.extract(m_waiting.begin());
        m_taken += first.key().bytes;
        first.mapped()(true);
    }
}

} // namespace mangofold::decision

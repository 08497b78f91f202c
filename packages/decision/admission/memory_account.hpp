#pragma once

#include "decision/admission/urgency.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace mangofold::decision
{

/// Shares the memory of one process among the bodies of requests and of
/// answers. Bodies of requests wait for memory, the most urgent ones first;
/// those of answers don't, as targets work on these requests already.
class memory_account
{
public:
    /// Is told once whether a body gets its memory.
    using decision_handler = std::function<void(bool is_granted)>;

    /// The place of a body that waits.
    struct place
    {
        urgency rank;
        std::size_t bytes = 0;
        std::uint64_t number = 0; ///< In order of arrival.

        friend auto operator<=>(const place&, const place&) = default;
    };

    /// Bytes beyond the assured ones that answers may have together.
    static constexpr std::size_t max_answer_bytes = 64U << 20U;

    /// Bytes that a body takes while it waits, in buffers of its connection.
    static constexpr std::size_t bytes_per_waiting = 128U << 10U;

    /// Shares what a process that may hold \a process_bytes can use for bodies;
    /// 0: no limit.
    explicit memory_account(std::size_t process_bytes = 0);

    /// Changes the memory that the process may hold.
    void set_process_bytes(std::size_t process_bytes);

    /// Asks for \a bytes for the body of a request. Calls \a decided at once if
    /// that can be decided at once; else returns the place of the body.
    std::optional<place> request(const urgency& rank, std::size_t bytes,
                                 decision_handler decided);

    /// Ends the wait at \a waiting; its handler is not called.
    void stop_waiting(const place& waiting);

    /// Ends all waits; no handler is called.
    void drop_waiting() { m_waiting.clear(); }

    /// Whether there is room for \a bytes of a request's body now.
    bool fits_request(std::size_t bytes) const;

    /// Takes \a bytes more for the body of a request that was begun. Returns
    /// whether there is room.
    bool grow_request(std::size_t bytes);

    /// Changes what the body of an answer takes from \a from to \a to bytes, of
    /// which \a shared_from and \a shared_to are beyond the assured ones.
    /// Returns false, without a change, if there is no room. Assured bytes find
    /// room beyond the capacity, too, up to max_taken().
    bool resize_answer(std::size_t from, std::size_t to,
                       std::size_t shared_from, std::size_t shared_to);

    /// Returns \a bytes of a request's body to the account.
    void give_back(std::size_t bytes);

    /// Returns the number of bytes that all bodies have.
    std::size_t taken() const { return m_taken; }

    /// Returns the number of bytes that all bodies may have; 0 for no limit.
    std::size_t capacity() const { return m_capacity; }

    /// Returns the most bytes that all bodies can have, with the assured parts
    /// of answers; 0 for no limit.
    std::size_t max_taken() const { return m_capacity + m_assured_reserve; }

    /// Returns the number of bodies that wait.
    std::size_t waiting() const { return m_waiting.size(); }

private:
    void grant_waiting();

    std::size_t m_capacity = 0;        ///< 0: no limit.
    std::size_t m_assured_reserve = 0; ///< Beyond the capacity.
    std::size_t m_request_capacity = 0;
    std::size_t m_max_waiting = 0;
    std::size_t m_taken = 0;
    std::size_t m_shared_by_answers = 0;
    std::uint64_t m_last_number = 0;
    std::map<place, decision_handler> m_waiting;
};

} // namespace mangofold::decision

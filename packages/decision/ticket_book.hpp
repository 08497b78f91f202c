#pragma once

#include "decision/time.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <string>

namespace mangofold::decision
{

/// Dates a request against one process of one target.
struct ticket
{
    std::string target;
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0;

    friend auto operator<=>(const ticket&, const ticket&) = default;
};

/// Mints tickets and says which are young enough that the ledger still knows
/// every key that ran under them. Needs no memory for a single ticket.
class ticket_book
{
public:
    /// Returns the serial of a new ticket.
    std::uint64_t mint(instant now);

    /// Whether \a serial was minted here less than \a horizon ago.
    bool is_young(std::uint64_t serial, instant now, duration horizon) const;

private:
    struct mark
    {
        std::uint64_t first_serial;
        instant at;
    };

    std::uint64_t m_next_serial = 1;
    std::deque<mark> m_marks; ///< One for each second with a ticket.
};

} // namespace mangofold::decision

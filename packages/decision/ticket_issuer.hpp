#pragma once

#include "decision/time.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <string>

namespace mangofold::decision
{

/// Bounds the age of a request: issued by one process of one target before
/// the request is first sent.
struct ticket
{
    std::string target;
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0;

    friend auto operator<=>(const ticket&, const ticket&) = default;
};

/// Issues tickets and checks their age. While a ticket is younger than the
/// horizon, the ledger still holds every key that ran with the ticket. Stores
/// issue times at intervals instead of one for each ticket.
class ticket_issuer
{
public:
    /// Returns the serial number of a new ticket.
    std::uint64_t issue(instant now);

    /// Whether \a serial was issued here less than \a horizon ago. The age is
    /// rounded up by at most a second.
    bool is_recent(std::uint64_t serial, instant now, duration horizon) const;

private:
    /// The first serial number that was issued at or after \c at.
    struct issue_time
    {
        std::uint64_t first_serial;
        instant at;
    };

    std::uint64_t m_next_serial = 1;
    std::deque<issue_time> m_issue_times; ///< At most one a second.
};

} // namespace mangofold::decision

#pragma once

#include "decision/time.hpp"

#include <compare>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace mangofold::decision
{

/// Identifies the stream of one entry within one sidecar process.
using link_id = std::uint64_t;

/// Identifies a grant in a submission.
struct grant_ref
{
    std::uint64_t incarnation = 0;
    std::uint64_t serial = 0;

    friend auto operator<=>(const grant_ref&, const grant_ref&) = default;
};

/// Issues and checks the grants of a sidecar: short-lived permissions for an
/// entry to submit work on its stream. Grants expire by the sidecar's clock, so
/// a submission that was delayed in transit does not start.
class grant_table
{
public:
    grant_table(std::uint64_t incarnation, duration lifetime)
        : m_incarnation(incarnation), m_lifetime(lifetime)
    {
    }

    std::uint64_t incarnation() const { return m_incarnation; }
    duration lifetime() const { return m_lifetime; }

    /// Returns a new grant for \a link.
    grant_ref issue(link_id link, instant now);

    /// Whether \a grant was issued to \a link and has not expired.
    bool is_valid(link_id link, const grant_ref& grant, instant now) const;

    /// Revokes every grant of \a link.
    void revoke(link_id link) { m_issued.erase(link); }

    void revoke_all() { m_issued.clear(); }

private:
    struct issued_grant
    {
        std::uint64_t serial;
        instant expires;
    };

    std::uint64_t m_incarnation;
    duration m_lifetime;
    std::uint64_t m_next_serial = 1;
    std::unordered_map<link_id, std::deque<issued_grant>> m_issued;
};

} // namespace mangofold::decision

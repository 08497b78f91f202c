#pragma once

#include "decision/digest.hpp"
#include "decision/time.hpp"

#include <cstddef>
#include <deque>
#include <unordered_set>

namespace mangofold::decision
{

/// Remembers for a while which requests were started on this entry, so that a
/// refused resend is not reported as "not executed" although an earlier send
/// may have run.
///
/// The number of requests is bounded. After a request was evicted before its
/// time, every request counts as started until that time has passed.
class recent_requests
{
public:
    explicit recent_requests(std::size_t max_size) : m_max_size(max_size) {}

    /// Notes that \a request was started; remembers it for \a horizon.
    void note(const digest& request, instant now, duration horizon);

    /// Notes that \a request was refused before any part of it ran.
    void forget(const digest& request) { m_known.erase(request); }

    /// Whether \a request may have been started on this entry.
    bool may_have_started(const digest& request, instant now);

    std::size_t size() const { return m_known.size(); }

private:
    struct expiring_request
    {
        digest request;
        instant expires_at;
    };

    void expire(instant now);

    std::size_t m_max_size;
    std::unordered_set<digest, digest_hash> m_known;
    std::deque<expiring_request> m_by_age;
    /// Until then, a request that is not known may have been evicted.
    instant m_incomplete_until{};
};

} // namespace mangofold::decision

#pragma once

#include "decision/digest.hpp"
#include "decision/time.hpp"

#include <cstddef>
#include <deque>
#include <unordered_set>

namespace mangofold::decision
{

/// Remembers for a while which requests were begun here, so that a resend
/// that is refused is not called "not run". Bounded in number: what it had
/// to drop too early counts as begun.
class recent_requests
{
public:
    explicit recent_requests(std::size_t most) : m_most(most) {}

    /// Notes that \a request was begun, to be known for \a horizon.
    void note(const digest& request, instant now, duration horizon);

    /// Notes that \a request was refused before anything of it ran.
    void forget(const digest& request) { m_known.erase(request); }

    /// Whether \a request may have been begun here.
    bool may_have_begun(const digest& request, instant now);

    std::size_t size() const { return m_known.size(); }

private:
    struct aged
    {
        digest request;
        instant until;
    };

    void drop_old(instant now);

    std::size_t m_most;
    std::unordered_set<digest, digest_hash> m_known;
    std::deque<aged> m_by_age;
    instant m_unsure_until{};
};

} // namespace mangofold::decision

#include "serving/exchange.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// How long a body waits for memory at most, also as a share of the caller's
/// time. Callers give up a request that is not read within a second or a third
/// of their time.
constexpr duration max_memory_wait = std::chrono::milliseconds(500);
constexpr int memory_wait_divisor = 6;

} // namespace

// Requests that wait for the first configuration are judged after their body.
body_terms exchange::judge_head()
{
    body_terms terms;
    terms.max_wait = max_memory_wait;
    if (!has_catalog())
        return terms;
    m_catalog = m_context.catalog;
    terms.is_refused = !admit_head();
    if (terms.is_refused)
        return terms;
    terms.rank = urgency();
    const duration time_limit = std::min(
        m_route->timeout, m_metadata.budget.value_or(m_route->timeout));
    terms.max_wait =
        std::min<duration>(max_memory_wait, time_limit / memory_wait_divisor);
    return terms;
}

awaitable<void> exchange::refuse_unread()
{
    m_catalog = m_context.catalog;
    if (admit_head())
    {
        apply_budget();
        m_refusal = refusal::memory_full;
    }
    co_await send_refusal();
}

} // namespace mangofold::serving

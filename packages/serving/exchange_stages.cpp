#include "serving/exchange.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// How much later a request counts as due for each rank that others are more
/// urgent: a call's time, so that in a burst the ranks are served in order,
/// and a request that waits long still gets its turn.
constexpr duration yields_per_route_rank = std::chrono::milliseconds(400);
constexpr duration yields_per_account_rank = std::chrono::milliseconds(500);

} // namespace

// The less urgent of two requests is served as if it were due later. An
// account's rank goes before a route's.
duration exchange::yields() const
{
    const std::uint32_t account =
        m_account == nullptr ? 0 : m_account->priority;
    return yields_per_route_rank * m_route->priority +
           yields_per_account_rank * account;
}

// A caller leaves a stream that stays silent, long before its deadline where
// that is far. And a stream that begins just before the deadline is cut there,
// which nobody has any use of.
instant exchange::stages_end() const
{
    const auto known = m_context.routes.find(m_route->name);
    const duration rest = known == m_context.routes.end()
                              ? duration::zero()
                              : known->second.per_token.mean() * tokens_out();
    const instant whole = m_deadline - rest;
    return m_route->patience == duration::zero()
               ? whole
               : std::min(whole, m_began + m_route->patience - answer_way);
}

// Results are fetched by the engine that the request goes to. Where that will
// be is mostly known before: where the shared parts of its prompt are kept.
std::string exchange::likely_zone()
{
    if (!is_engine())
        return {};
    const auto* target = choose_target();
    return target == nullptr ? std::string() : target->zone;
}

awaitable<bool> exchange::make_stages()
{
    constexpr int most_tries = 2;
    auto end = decision::job_status::failed;
    // How long an engine takes depends on the prompt and the answer, and so on
    // the route.
    const auto& engine = m_context.routes[m_route->name];
    for (int one = 0; one < most_tries && !is_over(); ++one)
    {
        drop_stages();
        m_stages = std::make_unique<stage_runner>(
            m_context, *m_route, m_facts, content(), likely_zone(), yields(),
            m_began + m_route->aim - engine.first.mean_plus(1),
            std::min(stages_end() - engine.first.mean(), last_send()));
        end = co_await m_stages->run();
        if (m_session->check_disconnected())
            co_return false;
        m_stages_at = m_context.now();
        m_is_begun_late = m_stages->is_late();
        m_stages_done = m_stages->done_after(m_began);
        if (end == decision::job_status::completed)
            co_return true;
        // A result that went with its maker is made again, from the start.
        if (end == decision::job_status::expired)
            break;
        if (is_wholly_evacuated(true))
        {
            m_refusal = refusal::evacuated;
            co_return false;
        }
        const bool is_kept_back = co_await is_quarantined();
        if (is_kept_back)
            co_return false;
    }
    const bool is_late = end == decision::job_status::expired;
    m_context.count("stages_ended", "how", is_late ? "late" : "failed");
    m_refusal = is_late ? refusal::stages_late : refusal::stages_failed;
    co_return false;
}

void exchange::drop_stages()
{
    if (m_stages)
        m_stages->release();
    m_stages.reset();
}

} // namespace mangofold::serving

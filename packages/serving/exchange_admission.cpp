#include "runtime/event.hpp"
#include "serving/exchange.hpp"

#include <algorithm>

namespace mangofold::serving
{

bool exchange::has_catalog() const
{
    return m_context.is_informed();
}

// Where all entries start at once, callers come before any of them has read
// its configuration, some hundredths of a second later. Each would spend its
// one retry on a refusal.
awaitable<void> exchange::wait_for_catalog()
{
    co_await wait_at_start([this] { return has_catalog(); });
    m_catalog = m_context.catalog;
}

// The same where the list of a large fleet comes page by page.
awaitable<void> exchange::wait_for_target()
{
    co_await wait_at_start(
        [this]
        {
            return m_context.knows_all_targets ||
                   !m_context.directory.serving(m_service).empty();
        });
}

awaitable<void> exchange::wait_at_start(std::function<bool()> is_there)
{
    while (!is_there() && m_context.now() < m_context.requests_wait_until &&
           !m_session->has_disconnected())
        co_await wait_a_moment();
}

awaitable<void> exchange::wait_a_moment()
{
    constexpr duration step = std::chrono::milliseconds(10);
    loop_timer timer(m_context.loop, step);
    error_code ignored; // Nobody cancels it.
    co_await timer.async_wait(store_error_in(ignored));
}

bool exchange::admit()
{
    try
    {
        m_facts = m_context.speech.parse_request(m_request);
        validate_request(m_facts);
    }
    catch (const invalid_message& fault)
    {
        runtime::event("request_unreadable")
            .with("request", m_facts.id)
            .with("fault", fault.what())
            .warn();
        m_refusal = refusal::malformed;
        return false;
    }
    if (!has_catalog())
    {
        m_refusal = refusal::no_catalog;
        return false;
    }
    m_route = m_catalog->find_route(m_facts.host, m_facts.path);
    if (m_route == nullptr)
    {
        m_refusal = refusal::no_route;
        return false;
    }
    if (m_catalog->content().checks_keys)
    {
        if (m_facts.key)
            m_account = m_catalog->find_account(*m_facts.key);
        if (m_account == nullptr && !m_route->is_public)
        {
            m_refusal = refusal::unknown_key;
            return false;
        }
    }
    duration most = m_route->timeout;
    if (m_facts.budget)
        most = std::min(most, *m_facts.budget - answer_way);
    m_deadline = m_began + most;
    if (is_left_to_others())
    {
        m_refusal = refusal::stopping;
        return false;
    }
    const bool may_repeat =
        m_route->is_stream ? m_route->is_resumable : m_route->is_repeatable;
    m_sends.emplace(may_repeat, m_route->max_targets);
    m_service = choose_service();
    return true;
}

// A request that the end of this process would cut off runs elsewhere, and is
// sent there before it has cost anything.
bool exchange::is_left_to_others()
{
    if (!m_context.drain)
        return false;
    const instant now = m_context.now();
    if (m_context.drain->is_out_of_rotation(now))
        m_ends_by = m_context.drain->request_deadline();
    return !m_context.drain->accepts(now, expected_time(),
                                     m_context.is_outlasted());
}

decision::drain::request_duration exchange::expected_time() const
{
    const auto known = m_context.routes.find(m_route->name);
    if (known == m_context.routes.end())
        return {left(), left()};
    const entry_context::route_times& times = known->second;
    const duration answer =
        times.first.mean() + times.per_token.mean() * tokens_out();
    return {times.before.mean() + answer,
            std::min(left(), times.before.mean_plus(1) + longest_answer())};
}

// Half more than the longest that was seen lately: answers of one route differ
// by several times.
duration exchange::longest_answer() const
{
    const auto known = m_context.routes.find(m_route->name);
    if (known == m_context.routes.end() ||
        known->second.answer.value() == duration::zero())
        return left();
    const duration seen = known->second.answer.value();
    return seen + seen / 2;
}

const std::string& exchange::choose_service()
{
    std::uint64_t sum = 0;
    for (const auto& one : m_route->services)
        sum += one.weight;
    std::uint64_t at = sum == 0 ? 0 : m_context.random.below(sum);
    for (const auto& one : m_route->services)
    {
        if (at < one.weight)
            return one.service;
        at -= one.weight;
    }
    return m_route->services.back().service;
}

} // namespace mangofold::serving

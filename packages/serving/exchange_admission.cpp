#include "runtime/event.hpp"
#include "serving/exchange.hpp"

#include <algorithm>

namespace mangofold::serving
{

bool exchange::has_catalog() const
{
    return m_context.has_routing_state();
}

// When all entries start at once, requests arrive some hundredths of a second
// before any entry has read its configuration. A refusal would cost each caller
// its one retry.
awaitable<void> exchange::wait_for_catalog()
{
    co_await wait_during_startup([this] { return has_catalog(); });
    m_catalog = m_context.catalog;
}

// The target list of a large fleet arrives page by page, so the first targets
// of the service may be missing at the start.
awaitable<void> exchange::wait_for_known_target()
{
    co_await wait_during_startup(
        [this]
        {
            return m_context.has_all_targets ||
                   !m_context.directory.serving(m_service).empty();
        });
}

awaitable<void>
exchange::wait_during_startup(std::function<bool()> is_available)
{
    while (!is_available() && m_context.now() < m_context.startup_wait_end &&
           !m_session->has_disconnected())
        co_await wait_poll_interval();
}

awaitable<void> exchange::wait_poll_interval()
{
    constexpr duration step = std::chrono::milliseconds(10);
    loop_timer timer(m_context.loop, step);
    error_code ignored; // The timer is never cancelled.
    co_await timer.async_wait(store_error_in(ignored));
}

bool exchange::admit_head()
{
    try
    {
        m_metadata = m_context.protocol.parse_request(m_request);
        validate_request(m_metadata);
    }
    catch (const invalid_message& fault)
    {
        runtime::event("request_unreadable")
            .with("request", m_metadata.id)
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
    m_route = m_catalog->find_route(m_metadata.host, m_metadata.path);
    if (m_route == nullptr)
    {
        m_refusal = refusal::no_route;
        return false;
    }
    if (m_catalog->content().checks_keys)
    {
        if (m_metadata.key)
            m_account = m_catalog->find_account(*m_metadata.key);
        if (m_account == nullptr && !m_route->is_public)
        {
            m_refusal = refusal::unknown_key;
            return false;
        }
    }
    return true;
}

bool exchange::admit()
{
    if (!admit_head())
        return false;
    apply_budget();
    if (is_declined_while_draining())
    {
        m_refusal = refusal::stopping;
        return false;
    }
    const bool may_repeat =
        m_route->is_stream ? m_route->is_resumable : m_route->is_repeatable;
    m_sends.emplace(may_repeat, m_route->max_targets);
    if (m_route->is_stream)
        m_progress.emplace(m_started_at, m_deadline, m_route->patience);
    if (is_taking_up_stream())
        m_sends->allow_refusals();
    m_service = choose_service();
    return true;
}

// A time beyond the route's own would make all other callers of the route count
// as returning.
void exchange::apply_budget()
{
    duration time_limit = m_route->timeout;
    if (m_metadata.budget)
    {
        time_limit =
            std::min(time_limit, *m_metadata.budget - answer_transit_time);
        decision::returning_callers& callers =
            m_context.callers_by_route[m_route->name];
        const duration budget = std::min(*m_metadata.budget, m_route->timeout);
        const duration waited = callers.note(budget);
        if (!m_route->stages.empty())
            m_waited_before = waited;
        m_has_returned = callers.has_returned(budget);
    }
    m_deadline = m_started_at + time_limit;
}

// A request that the end of this process would cut off is refused before any
// work is done for it, so that the caller sends it to another entry.
bool exchange::is_declined_while_draining()
{
    if (!m_context.drain)
        return false;
    const instant now = m_context.now();
    if (m_context.drain->is_out_of_rotation(now))
        m_process_end = m_context.drain->request_deadline();
    const auto expected = expected_request_time();
    const auto others = m_context.others_while_stopping();
    const bool is_accepted = m_context.drain->accepts(
        now, expected, others, m_has_returned || is_taking_up_stream());
    log_admission_while_draining(expected, others, is_accepted);
    return !is_accepted;
}

void exchange::log_admission_while_draining(
    const decision::drain::request_duration& expected,
    decision::other_entries others, bool is_accepted)
{
    const instant now = m_context.now();
    m_context.count("requests_while_stopping", "accepted",
                    is_accepted ? "yes" : "no");
    runtime::event("request_while_stopping")
        .with("request", m_metadata.id)
        .with("route", m_route->name)
        .with("accepted", is_accepted ? 1 : 0)
        .with("since_stop_ms",
              whole_milliseconds(now - m_context.drain->started_at()))
        .with("typical_ms", whole_milliseconds(expected.typical))
        .with("bound_ms", whole_milliseconds(expected.bound))
        .with("left_ms",
              whole_milliseconds(m_context.drain->last_answers_at() - now))
        .with("remaining_peers",
              others == decision::other_entries::most ? 1 : 0)
        .with("later_half",
              others == decision::other_entries::later_half ? 1 : 0)
        .with("returning", m_has_returned ? 1 : 0)
        .info();
}

decision::drain::request_duration exchange::expected_request_time() const
{
    const auto known = m_context.times_by_route.find(m_route->name);
    if (known == m_context.times_by_route.end())
        return {remaining_time(), remaining_time()};
    const entry_context::route_times& times = known->second;
    const duration typical = times.time_to_send.mean() +
                             times.time_to_first_event.mean() +
                             times.time_per_token.mean() * max_output_tokens();
    return {typical, remaining_time()};
}

// 1.5 times the longest recent answer: answer times of one route differ by a
// factor of several.
duration exchange::longest_answer_time() const
{
    const auto known = m_context.times_by_route.find(m_route->name);
    if (known == m_context.times_by_route.end() ||
        known->second.answer_time.value() == duration::zero())
        return remaining_time();
    const duration longest_seen = known->second.answer_time.value();
    return longest_seen + longest_seen / 2;
}

const std::string& exchange::choose_service()
{
    std::uint64_t total = 0;
    for (const auto& choice : m_route->services)
        total += choice.weight;
    std::uint64_t position = total == 0 ? 0 : m_context.random.below(total);
    for (const auto& choice : m_route->services)
    {
        if (position < choice.weight)
            return choice.service;
        position -= choice.weight;
    }
    return m_route->services.back().service;
}

} // namespace mangofold::serving

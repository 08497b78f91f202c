#include "serving/exchange.hpp"

#include "decision/request_content.hpp"
#include "serving/target_losses.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// How long a request that may be repeated waits for its first target, as a
/// share of the time left, before enough answers are known.
constexpr double first_share = 0.4;

} // namespace

exchange::exchange(entry_context& context,
                   std::shared_ptr<caller_session> session,
                   http_request request)
    : m_context(context), m_session(std::move(session)),
      m_request(std::move(request)), m_began(context.now())
{
}

// The end of this process would cut off midway what is sent later.
instant exchange::last_send() const
{
    return m_ends_by == instant::max() ? m_ends_by
                                       : m_ends_by - longest_answer();
}

// What has not been sent yet would end without any answer.
void exchange::end_soon()
{
    m_ends_by = m_context.now();
    if (m_call)
        return;
    m_is_ending = true;
    m_deadline = std::min(m_deadline, m_context.now());
    if (m_stages)
        m_stages->abort();
}

// The session goes on, also where this one ended with an exception.
exchange::~exchange()
{
    m_session->set_on_disconnect(nullptr);
    m_session->set_on_shutdown(nullptr);
}

std::uint32_t exchange::tokens_out() const
{
    return std::max<std::uint32_t>(1, m_facts.max_output_tokens);
}

duration exchange::left() const
{
    return m_deadline - m_context.now();
}

bool exchange::is_engine() const
{
    const auto* service = m_catalog->find_service(m_service);
    return service != nullptr && service->engine;
}

// Most requests never need it, and a body can be long.
const decision::digest& exchange::content() const
{
    if (!m_content)
        m_content = decision::digest_of(decision::request_content{
            m_account == nullptr ? std::string_view() : m_account->name,
            view(m_request.method_string()), m_facts.host,
            view(m_request.target()), m_request.body()});
    return *m_content;
}

decision::generation_request exchange::generation() const
{
    decision::generation_request work;
    for (const prompt_segment& part : m_facts.prompt)
        work.prompt.push_back({part.id, part.tokens});
    if (m_stages)
        work.inputs = m_stages->bytes_by_zone();
    return work;
}

awaitable<void> exchange::run()
{
    m_session->set_on_disconnect(
        [this]
        {
            if (m_call)
                m_call->abort();
            if (m_stages)
                m_stages->abort();
        });
    m_session->set_on_shutdown([this] { end_soon(); });
    co_await wait_for_catalog();
    if (admit())
    {
        co_await wait_for_target();
        co_await serve();
    }
    drop_stages();
    if (m_session->has_disconnected())
    {
        m_context.count("requests_left", "kind", "caller");
        m_session->close_after_response();
        co_return;
    }
    if (m_is_ending && m_answered == 0)
        m_refusal = refusal::stopping;
    if (m_refusal != refusal::none)
        co_await refuse();
    else if (m_answered != 0)
        log_answer();
}

awaitable<void> exchange::serve()
{
    const bool has_stages =
        std::any_of(m_facts.pieces.begin(), m_facts.pieces.end(),
                    [](std::uint32_t one) { return one > 0; }) &&
        !m_route->stages.empty();
    m_context.retries_of(m_service).note_first_attempt();
    constexpr int most_rounds = 6;
    for (int round = 0; round < most_rounds; ++round)
    {
        if (m_session->check_disconnected())
            co_return;
        const bool is_kept_back = co_await is_quarantined();
        if (is_kept_back)
            co_return;
        if (is_wholly_evacuated(!m_stages))
        {
            m_refusal = refusal::evacuated;
            co_return;
        }
        if (has_stages && !m_stages)
        {
            const bool are_made = co_await make_stages();
            if (!are_made)
                co_return;
        }
        const attempt_end end = co_await attempt();
        if (end == attempt_end::answered || end == attempt_end::given_up)
            co_return;
        if (!m_sends->may_send() || is_over())
            co_return;
        if (end == attempt_end::restart)
            drop_stages();
    }
}

// A request that may be repeated does not wait for a silent target until its
// time is over: the time in which nearly all answers come leaves enough for
// a second target.
duration exchange::patience() const
{
    const bool has_other = m_sends->sends() < m_route->max_targets;
    if (m_route->is_stream || !m_route->is_repeatable || !has_other)
        return left();
    const auto usual = m_context.standing.usual_longest();
    if (usual)
        return std::clamp(*usual, duration(left() / 10), left());
    return duration(static_cast<duration::rep>(
        static_cast<double>(left().count()) * first_share));
}

void exchange::note_begun(const decision::target_start& target)
{
    m_tried.insert(target);
    m_last_target = target;
    m_sends->note_sent();
    if (m_verdict.how != decision::quarantine::admission::open)
        m_context.quarantine.note_begun(content(), target);
    m_context.cold.note_sent(target, m_context.warm_up_of(m_service),
                             m_context.entries_sharing(), m_context.now());
    if (is_engine())
        m_tokens_ahead =
            m_context.engines.note_sent(target, generation(), m_context.now());
    else
        m_context.standing.note_sent(target);
    m_is_first_read = false;
    m_is_noted = false;
}

void exchange::note_ended(const decision::target_start& target)
{
    if (m_verdict.how != decision::quarantine::admission::open)
        m_context.quarantine.note_over(content(), target);
    if (!is_engine())
        return;
    if (!m_is_first_read)
        m_context.engines.note_prompt_read(target, m_tokens_ahead);
    m_context.engines.note_ended(target);
}

awaitable<exchange::attempt_end> exchange::attempt()
{
    if (is_over())
    {
        m_refusal = refusal::too_late;
        co_return attempt_end::given_up;
    }
    const bool is_retry = m_sends->sends() > 0;
    if (!m_sends->may_send())
        co_return attempt_end::given_up;
    const bool is_kept_back = co_await is_quarantined();
    if (is_kept_back)
        co_return attempt_end::given_up;
    if (m_context.now() > last_send())
    {
        m_refusal = refusal::stopping;
        co_return attempt_end::given_up;
    }
    if (is_retry && !m_context.retries_of(m_service).try_spend())
    {
        if (m_refusal == refusal::none)
            m_refusal = refusal::retries_spent;
        co_return attempt_end::given_up;
    }
    const auto* target = co_await wait_for_choice();
    if (target == nullptr)
    {
        if (m_refusal == refusal::none)
            m_refusal =
                m_cold_until ? refusal::targets_cold : refusal::no_target;
        co_return attempt_end::given_up;
    }
    m_refusal = refusal::none;
    const decision::target_start id = target->start;
    m_call = std::make_shared<target_call>(
        m_context.links, m_context.speech,
        call_target{id, runtime::address::parse(target->address)});
    http_request sent;
    // The fields hold method and path too, so they are assigned first.
    static_cast<http_fields&>(sent.base()) =
        m_context.speech.forwarded_fields(m_request, marks_for(*target));
    sent.method_string(m_request.method_string());
    sent.target(m_request.target());
    sent.body() = m_request.body();
    note_begun(id);
    const instant began = m_context.now();
    m_sent_at = began;
    if (!is_retry)
        m_context.routes[m_route->name].before.add(began - m_began);
    const auto begun = co_await m_call->begin(sent, m_facts.id, patience());
    if (begun == target_call::state::good)
    {
        note_alive(m_context, id, m_call->opened_at());
        m_context.cold.note_answered(id, m_context.warm_up_of(m_service).time,
                                     m_context.now());
    }
    attempt_end end = attempt_end::given_up;
    if (m_session->has_disconnected())
    {
        m_call->abort();
        m_context.standing.note_left(id);
    }
    else if (begun != target_call::state::good)
        end = failed(begun, id);
    else if (m_call->facts().has_not_run)
        end = not_run(*m_call);
    else
    {
        end = co_await pass_on(*m_call);
        if (!is_engine() && !m_is_noted)
            m_context.standing.note_answered(id, m_context.now() - began,
                                             m_call->head().result_int() >=
                                                 500);
    }
    note_ended(id);
    m_call->finish();
    m_call.reset();
    co_return end;
}

exchange::attempt_end exchange::failed(target_call::state how,
                                       const decision::target_start& target)
{
    const instant now = m_context.now();
    m_call->abort();
    const bool is_unsent = how == target_call::state::not_sent;
    if (is_unsent)
        m_sends->note_not_run();
    if (is_engine())
        m_context.engines.note_failed(target, false, now);
    else
        m_context.standing.note_silent(target, now);
    const bool may_have_ended = how == target_call::state::not_sent ||
                                how == target_call::state::broken;
    if (may_have_ended &&
        m_context.warm_up_of(m_service).time > duration::zero())
        m_context.cold.note_lost(target, now);
    m_is_noted = true;
    switch (how)
    {
    case target_call::state::not_sent:
        m_refusal = refusal::no_target;
        break;
    case target_call::state::timed_out:
        m_refusal = refusal::target_silent;
        break;
    case target_call::state::spoiled:
        m_refusal = refusal::answer_spoiled;
        break;
    default:
        m_refusal = refusal::target_lost;
        note_target_end(m_context, {content(), target, m_sent_at, now, false},
                        m_facts.id);
    }
    m_context.count("attempts_failed", "why", to_string(m_refusal));
    if (!is_unsent)
        log_lost(target);
    return attempt_end::try_again;
}

exchange::attempt_end exchange::not_run(const target_call& call)
{
    const instant now = m_context.now();
    const decision::target_start& target = call.target().start;
    m_sends->note_not_run();
    const unsigned status = call.head().result_int();
    m_context.count("attempts_refused", "status", std::to_string(status));
    if (is_engine())
        m_context.engines.note_failed(target, true, now);
    else
        m_context.standing.note_refused(target, now);
    m_refusal = refusal::targets_full;
    // An input that is no longer there was lost with its maker.
    constexpr unsigned conflict = 409;
    return status == conflict ? attempt_end::restart : attempt_end::try_again;
}

} // namespace mangofold::serving

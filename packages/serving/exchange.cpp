#include "serving/exchange.hpp"

#include "runtime/event.hpp"

#include <algorithm>
#include <array>

namespace mangofold::serving
{

namespace
{

/// The longest a caller is asked to wait before it comes back. Callers heed
/// at most a third of the time they have left.
constexpr double back_share = 0.3;

/// What is kept back of the caller's time for the way of the answer.
constexpr duration answer_way = std::chrono::milliseconds(20);

/// How long a request that may be repeated waits for its first target, as a
/// share of the time left, before enough answers are known.
constexpr double first_share = 0.4;

/// How much later a request counts as due for each rank that others are more
/// urgent: a call's time, so that in a burst the ranks are served in order,
/// and a request that waits long still gets its turn.
constexpr duration yields_per_route_rank = std::chrono::milliseconds(400);
constexpr duration yields_per_account_rank = std::chrono::milliseconds(500);

constexpr std::array<std::string_view, 15> refusal_names{
    "none",          "malformed",      "no_catalog",    "no_route",
    "unknown_key",   "no_target",      "targets_full",  "too_late",
    "stages_late",   "stages_failed",  "retries_spent", "target_lost",
    "target_silent", "answer_spoiled", "stopping"};

} // namespace

std::string_view to_string(refusal value)
{
    return refusal_names.at(static_cast<std::size_t>(value));
}

exchange::exchange(entry_context& context,
                   std::shared_ptr<caller_session> session,
                   http_request request)
    : m_context(context), m_session(std::move(session)),
      m_request(std::move(request)), m_catalog(context.catalog),
      m_began(context.now())
{
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

decision::generation exchange::generation() const
{
    decision::generation work;
    for (const prompt_part& part : m_facts.prompt)
        work.prompt.push_back({part.id, part.tokens});
    if (m_stages)
        work.inputs = m_stages->bytes_by_zone();
    return work;
}

bool exchange::admit()
{
    try
    {
        m_facts = m_context.speech.facts(m_request);
    }
    catch (const facts_error& fault)
    {
        runtime::event("request_unreadable")
            .with("request", m_facts.id)
            .with("fault", fault.what())
            .warn();
        m_refusal = refusal::malformed;
        return false;
    }
    if (!m_context.takes_requests)
    {
        m_refusal = refusal::stopping;
        return false;
    }
    if (!m_catalog || !m_context.knows_targets)
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
    const bool may_repeat =
        m_route->is_stream ? m_route->is_resumable : m_route->is_repeatable;
    m_sends.emplace(may_repeat, m_route->max_targets);
    m_service = choose_service();
    return true;
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

awaitable<void> exchange::run()
{
    m_session->set_on_left(
        [this]
        {
            if (m_call)
                m_call->abort();
            if (m_stages)
                m_stages->abort();
        });
    if (admit())
        co_await serve();
    drop_stages();
    if (m_session->has_left())
    {
        m_context.count("requests_left", "kind", "caller");
        m_session->close_after();
        co_return;
    }
    if (m_refusal != refusal::none)
        co_await refuse();
}

awaitable<void> exchange::serve()
{
    const bool has_stages =
        std::any_of(m_facts.pieces.begin(), m_facts.pieces.end(),
                    [](std::uint32_t one) { return one > 0; }) &&
        !m_route->stages.empty();
    m_context.retries_of(m_service).first_sent();
    constexpr int most_rounds = 6;
    for (int round = 0; round < most_rounds; ++round)
    {
        if (m_session->has_left())
            co_return;
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
// that is far.
instant exchange::stages_end() const
{
    return m_route->patience == duration::zero()
               ? m_deadline
               : std::min(m_deadline, m_began + m_route->patience - answer_way);
}

awaitable<bool> exchange::make_stages()
{
    constexpr int most_tries = 2;
    auto end = decision::job_end::failed;
    for (int one = 0; one < most_tries && !is_over(); ++one)
    {
        drop_stages();
        m_stages = std::make_unique<stage_runner>(
            m_context, *m_route, m_facts, yields(),
            m_began + m_route->aim - m_context.first_event.mean(),
            stages_end() - m_context.first_event.mean());
        end = co_await m_stages->run();
        if (m_session->has_left())
            co_return false;
        if (end == decision::job_end::made)
            co_return true;
        // A result that went with its maker is made again, from the start.
        if (end == decision::job_end::late)
            break;
    }
    const bool is_late = end == decision::job_end::late;
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

const decision::listed_target* exchange::choose_target()
{
    const auto candidates = m_context.directory.serving(m_service);
    const instant now = m_context.now();
    if (is_engine())
        return m_context.engines.choose(candidates, m_tried, generation(),
                                        m_context.settings.zone, now);
    return m_context.standing.choose(candidates, m_tried,
                                     m_context.settings.zone, now);
}

send_marks exchange::marks_for(const decision::listed_target& target)
{
    send_marks marks;
    marks.target_id = target.id;
    marks.budget = left();
    if (m_account != nullptr)
        marks.account = m_account->name;
    if (!m_route->stages.empty() && !m_facts.pieces.empty())
        marks.inputs =
            m_stages ? m_stages->results() : std::vector<std::string>();
    if (m_last_event)
        marks.last_event_id = std::to_string(*m_last_event);
    return marks;
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

void exchange::note_begun(const std::string& target)
{
    m_tried.insert(target);
    m_last_target = target;
    m_sends->note_sent();
    if (is_engine())
        m_tokens_ahead =
            m_context.engines.note_sent(target, generation(), m_context.now());
    else
        m_context.standing.note_sent(target);
    m_is_first_read = false;
    m_is_noted = false;
}

void exchange::note_ended(const std::string& target)
{
    if (!is_engine())
        return;
    if (!m_is_first_read)
        m_context.engines.note_read(target, m_tokens_ahead);
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
    if (is_retry && !m_context.retries_of(m_service).take())
    {
        if (m_refusal == refusal::none)
            m_refusal = refusal::retries_spent;
        co_return attempt_end::given_up;
    }
    const auto* target = choose_target();
    if (target == nullptr)
    {
        if (m_refusal == refusal::none)
            m_refusal = refusal::no_target;
        co_return attempt_end::given_up;
    }
    m_refusal = refusal::none;
    const std::string id = target->id;
    m_call = std::make_shared<target_call>(
        m_context.links, m_context.speech,
        call_target{id, runtime::address::parse(target->address)});
    http_request sent;
    // The fields hold method and path too, so they are assigned first.
    static_cast<http_fields&>(sent.base()) =
        m_context.speech.forwarded(m_request, marks_for(*target));
    sent.method_string(m_request.method_string());
    sent.target(m_request.target());
    sent.body() = m_request.body();
    note_begun(id);
    const instant began = m_context.now();
    m_sent_at = began;
    const auto begun = co_await m_call->begin(sent, m_facts.id, patience());
    attempt_end end = attempt_end::given_up;
    if (m_session->has_left())
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
                                       const std::string& target)
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
    }
    m_context.count("attempts_failed", "why", to_string(m_refusal));
    return attempt_end::try_again;
}

exchange::attempt_end exchange::not_run(const target_call& call)
{
    const instant now = m_context.now();
    const std::string& target = call.target().id;
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

unsigned exchange::refusal_status() const
{
    switch (m_refusal)
    {
    case refusal::malformed:
        return 400;
    case refusal::no_route:
        return 404;
    case refusal::unknown_key:
        return 401;
    default:
        break;
    }
    // "Not run" is said only where it is sure; otherwise the caller must not
    // conclude anything.
    if (!m_sends || m_sends->has_surely_not_run())
        return 503;
    const bool is_silence =
        m_refusal == refusal::target_silent || m_refusal == refusal::too_late;
    return is_silence ? 504 : 502;
}

awaitable<void> exchange::refuse()
{
    if (m_is_head_sent)
    {
        // An answer that began and cannot end must not look complete.
        m_session->break_off();
        log_end(0);
        co_return;
    }
    const unsigned status = refusal_status();
    http_fields fields;
    fields.set(http::field::content_type, "application/json");
    if (!m_facts.id.empty())
        for (const auto& one : m_context.speech.echo(m_facts.id))
            fields.set(one.name_string(), one.value());
    if (status == 503)
    {
        const double left_s =
            std::chrono::duration<double>(
                m_facts.budget ? *m_facts.budget - (m_context.now() - m_began)
                               : std::chrono::seconds(3))
                .count();
        const double back = std::clamp(left_s * back_share, 0.05, 1.0);
        fields.set(http::field::retry_after, std::to_string(back).substr(0, 5));
    }
    log_end(status);
    m_context.count("requests_refused", "why", to_string(m_refusal));
    co_await m_session->send_answer(
        status, std::move(fields),
        R"({"error":")" + std::string(to_string(m_refusal)) + "\"}");
}

void exchange::log_end(unsigned status) const
{
    runtime::event("request_refused")
        .with("request", m_facts.id)
        .with("why", to_string(m_refusal))
        .with("status", status)
        .with("route", m_route == nullptr ? "" : m_route->name)
        .with("target", m_last_target)
        .with("sends", m_sends ? m_sends->sends() : 0)
        .with("left_ms", static_cast<std::uint64_t>(std::max<std::int64_t>(
                             0, left().count() / 1000000)))
        .with("catalog", m_catalog ? m_catalog->version() : 0)
        .info();
}

} // namespace mangofold::serving

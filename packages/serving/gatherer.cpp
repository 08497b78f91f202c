#include "serving/gatherer.hpp"

#include "runtime/event.hpp"
#include "serving/target_call.hpp"
#include "serving/target_losses.hpp"

namespace mangofold::serving
{

namespace
{

/// How often expired jobs and results to let go of are looked for: a tenth
/// of a call's fixed time.
constexpr duration tick = std::chrono::milliseconds(20);

/// A call that takes this many times longer than expected, and this much
/// more, is given up: its target is dark. One that turned slow is known to
/// be slower by its next call.
constexpr int most_times = 3;
constexpr duration most_more = std::chrono::milliseconds(300);

/// How long a target takes at most to fetch the inputs of a call, beyond the
/// bytes' own time on the link, and how many times that.
constexpr duration least_fetch = std::chrono::milliseconds(40);
constexpr double fetch_margin = 4;

constexpr duration summary_interval = std::chrono::seconds(1);

} // namespace

gatherer::gatherer(entry_context& context) : m_context(context)
{
    m_outlook.remaining_time =
        [this](const decision::stage_job& job, duration call, bool is_late)
    { return foresee(job, call, is_late).time_after; };
    m_outlook.may_start = [this](const decision::stage_job& job, duration call)
    { return foresee(job, call, job.is_late).may_begin; };
}

gatherer::line* gatherer::line_of(const std::string& service)
{
    const auto* known =
        m_context.catalog ? m_context.catalog->find_service(service) : nullptr;
    if (known == nullptr || !known->calls)
        return nullptr;
    auto& one = m_lines[service];
    if (!one)
        one = std::make_unique<line>(*known->calls);
    one->planner.set_shape(*known->calls);
    update_targets(service, *one);
    return one.get();
}

void gatherer::update_targets(const std::string& service, line& one)
{
    if (one.seen_changes == m_context.directory.changes())
        return;
    one.seen_changes = m_context.directory.changes();
    std::map<decision::target_start, std::string> zones;
    for (const auto* target : m_context.directory.serving(service))
        zones[target->start] = target->zone;
    one.planner.set_targets(zones);
}

std::size_t gatherer::jobs() const
{
    std::size_t sum = 0;
    for (const auto& [service, one] : m_lines)
        sum += one->asked.size();
    return sum;
}

void gatherer::add(const std::string& service, decision::stage_job job,
                   outcome_sink done, interest wanted, fetch_notice fetched)
{
    line* one = line_of(service);
    if (one == nullptr)
    {
        done({decision::job_status::failed, {}, false});
        return;
    }
    job.number = m_next_number++;
    job.queued_at = m_context.now();
    one->asked[job.number] = {
        std::move(done), std::move(wanted), std::move(fetched), false, 0, {}};
    one->used_at = m_context.now();
    one->planner.add(std::move(job));
    pump(service, *one);
}

void gatherer::pump(const std::string& service, line& one)
{
    update_targets(service, one);
    while (auto plan = one.planner.next_call(m_context.now(), m_outlook))
    {
        note_begun(one, *plan);
        spawn(m_context.loop, call(service, std::move(*plan)));
    }
}

std::vector<piece_task>
gatherer::orders(const line& one, const decision::planned_call& plan) const
{
    std::vector<piece_task> found;
    const instant now = m_context.now();
    for (const decision::piece_ref& ref : plan.pieces)
    {
        const decision::stage_job* job = one.planner.find(ref.job);
        if (job == nullptr)
            continue;
        found.push_back({job->request, job->stage, ref.piece,
                         time_until(job->expires, now), job->key, job->inputs});
    }
    return found;
}

// Inputs are fetched at the start of a call, and then only take room that
// other results need. They are let go of as soon as they must have arrived,
// a call's time earlier than its end.
duration gatherer::fetch_time(const line& one,
                              const decision::planned_call& plan) const
{
    double bytes = 0;
    for (const decision::piece_ref& ref : plan.pieces)
        if (const auto* job = one.planner.find(ref.job))
            bytes += static_cast<double>(job->input_bytes);
    const double bytes_per_ns =
        std::max(one.planner.shape().link_bytes_per_s, 1.0) / 1e9;
    return least_fetch + duration(static_cast<duration::rep>(
                             fetch_margin * bytes / bytes_per_ns));
}

awaitable<void> gatherer::note_fetched(std::string service,
                                       decision::planned_call plan,
                                       duration after)
{
    loop_timer timer(m_context.loop, after);
    error_code ignored; // Nobody cancels it.
    co_await timer.async_wait(store_error_in(ignored));
    line& one = *m_lines.at(service);
    for (const decision::piece_ref& ref : plan.pieces)
    {
        const auto asked = one.asked.find(ref.job);
        if (asked == one.asked.end() || asked->second.is_fetched ||
            one.planner.has_waiting_pieces(ref.job))
            continue;
        asked->second.is_fetched = true;
        asked->second.fetched();
    }
}

awaitable<void> gatherer::call(std::string service, decision::planned_call plan)
{
    line& one = *m_lines.at(service);
    const auto* target = m_context.directory.find(plan.target);
    if (target == nullptr)
    {
        one.planner.note_call_failed(plan, false, m_context.now());
        lose(one, plan);
        co_return;
    }
    const instant began = m_context.now();
    const auto sent = std::make_shared<target_call>(
        m_context.links, m_context.speech,
        call_target{target->start, runtime::address::parse(target->address)});
    const http_request request =
        m_context.speech.make_pieces_request(plan.target.id, orders(one, plan));
    const duration most = plan.expected_time * most_times + most_more;
    spawn(m_context.loop, note_fetched(service, plan, fetch_time(one, plan)));
    auto got = co_await sent->begin(request, {}, most);
    while (got == target_call::state::good && !sent->is_complete())
        got = co_await sent->more(most);
    const instant now = m_context.now();
    const bool is_full =
        got == target_call::state::good && sent->facts().has_not_run;
    constexpr unsigned ok = 200;
    if (got == target_call::state::good && sent->head().result_int() == ok)
    {
        one.planner.note_call_answered(plan, now - began, now);
        note_alive(m_context, plan.target, sent->opened_at());
        try
        {
            take_results(
                one, plan,
                m_context.speech.parse_piece_results(sent->take_body()));
        }
        catch (const invalid_message& fault)
        {
            runtime::event("call_unreadable")
                .with("target", plan.target.id)
                .with("fault", fault.what())
                .warn();
            lose(one, plan);
        }
        sent->finish();
    }
    else
    {
        const bool is_unsent = got == target_call::state::not_sent;
        if (is_full || is_unsent)
            one.planner.note_call_failed(plan, is_full, now);
        else
            one.planner.note_call_unanswered(plan, now);
        m_context.count("calls_failed", "why", is_full ? "full" : "lost");
        if (got == target_call::state::broken)
        {
            note_target_ends(one, plan, began);
            one.planner.note_suspected_crash(plan);
        }
        if (!is_full && !is_unsent)
            runtime::event("call_lost")
                .with("service", service)
                .with("target", plan.target.id)
                .with("pieces", plan.pieces.size())
                .with("after_ms", whole_milliseconds(now - began))
                .warn();
        is_full ? put_back(one, plan) : lose(one, plan);
        is_full ? sent->finish() : sent->abort();
    }
    one.pieces += plan.pieces.size();
    ++one.calls;
    end_finished(service, one);
    end_unwanted(service, one);
    pump(service, one);
}

void gatherer::release(const std::string& service,
                       const std::vector<std::string>& handles)
{
    line* one = line_of(service);
    if (one == nullptr)
        return;
    for (const std::string& handle : handles)
        let_go(*one, handle);
}

awaitable<void> gatherer::send_releases(std::string service)
{
    line& one = *m_lines.at(service);
    const auto batches = std::exchange(one.to_release, {});
    for (const auto& [where, handles] : batches)
    {
        decision::target_start maker;
        for (const auto* target : m_context.directory.serving(service))
            if (target->address == where)
                maker = target->start;
        if (maker.id.empty())
            continue;
        const auto sent = std::make_shared<target_call>(
            m_context.links, m_context.speech,
            call_target{maker, runtime::address::parse(where)});
        auto got = co_await sent->begin(
            m_context.speech.make_release_request(handles), {}, most_more);
        while (got == target_call::state::good && !sent->is_complete())
            got = co_await sent->more(most_more);
        if (got != target_call::state::good)
            m_context.count("releases", "how", "lost");
        for (const std::string& handle : handles)
            one.planner.note_released(maker, handle);
        sent->finish();
    }
}

awaitable<void> gatherer::run()
{
    loop_timer timer(m_context.loop);
    for (;;)
    {
        error_code ignored; // Nobody cancels it.
        timer.expires_after(tick);
        co_await timer.async_wait(store_error_in(ignored));
        for (const auto& [service, said] : waits())
            note_wait(service, said);
        for (auto& [service, one] : m_lines)
        {
            if (!one->asked.empty())
            {
                end_unwanted(service, *one);
                pump(service, *one);
            }
            if (!one->to_release.empty())
                spawn(m_context.loop, send_releases(service));
        }
        if (m_context.now() < m_summarized_at + summary_interval)
            continue;
        m_summarized_at = m_context.now();
        for (auto& [service, one] : m_lines)
            summarize(service, *one);
    }
}

} // namespace mangofold::serving

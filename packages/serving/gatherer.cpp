#include "serving/gatherer.hpp"

#include "runtime/event.hpp"
#include "serving/target_call.hpp"

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

/// A request begins where a piece of its next stages would wait this many
/// times their calls' fixed time at most: less leaves gaps between their
/// calls, more fills the room for results.
constexpr int begin_within = 2;

/// The same for a request that will be late.
constexpr int late_within = 1;

/// What waits at a service is said while work for it came this recently.
constexpr duration still_gathered = std::chrono::seconds(1);

/// How long a target takes at most to fetch the inputs of a call, beyond the
/// bytes' own time on the link, and how many times that.
constexpr duration least_fetch = std::chrono::milliseconds(40);
constexpr double fetch_margin = 4;

constexpr duration summary_interval = std::chrono::seconds(1);

/// Calls with pieces of one job that may be lost before it counts as failed.
constexpr std::uint32_t most_losses = 3;

} // namespace

gatherer::gatherer(entry_context& context) : m_context(context)
{
    m_outlook.time_after = [this](const decision::piece_job& job, duration call)
    { return time_after(job, call); };
    m_outlook.may_begin = [this](const decision::piece_job& job, duration call)
    { return may_begin(job, call); };
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
    std::map<std::string, std::string> zones;
    for (const auto* target : m_context.directory.serving(service))
        zones[target->id] = target->zone;
    one.planner.set_targets(zones);
}

void gatherer::add(const std::string& service, decision::piece_job job,
                   outcome_sink done, interest wanted, fetch_notice fetched)
{
    line* one = line_of(service);
    if (one == nullptr)
    {
        done({decision::job_end::failed, {}, false});
        return;
    }
    job.number = m_next_number++;
    one->asked[job.number] = {
        std::move(done), std::move(wanted), std::move(fetched), false, 0, {}};
    one->used_at = m_context.now();
    one->planner.add(std::move(job));
    pump(service, *one);
}

void gatherer::pump(const std::string& service, line& one)
{
    update_targets(service, one);
    end_unwanted(service, one);
    while (auto plan = one.planner.next_call(m_context.now(), m_outlook))
    {
        note_begun(one, *plan);
        start(m_context.loop, call(service, std::move(*plan)));
    }
}

// A request begins when its next stages can take it about a call's time after
// this one is done. That keeps each of them busy, and little waiting there.
// One that will be late only takes what the others leave.
bool gatherer::may_begin(const decision::piece_job& job, duration call) const
{
    const instant now = m_context.now();
    duration arrives_in = call;
    for (const decision::later_pieces& one : job.later)
    {
        const auto* shape = shape_of(one.service);
        if (shape == nullptr)
            continue;
        const duration wait = m_later.wait_at(one.service, now, arrives_in);
        if (wait > shape->per_call * (job.is_late ? late_within : begin_within))
            return false;
        arrives_in += wait + m_later.call_at(one.service, shape->per_call);
    }
    return true;
}

duration gatherer::time_after(const decision::piece_job& job,
                              duration call) const
{
    const instant now = m_context.now();
    duration arrives_in = call;
    for (const decision::later_pieces& one : job.later)
    {
        const auto* shape = shape_of(one.service);
        if (shape != nullptr)
            arrives_in += m_later.wait_at(one.service, now, arrives_in) +
                          m_later.call_at(one.service, shape->per_call);
    }
    return arrives_in - call;
}

const catalog::call_shape* gatherer::shape_of(const std::string& service) const
{
    const auto* found = m_context.catalog->find_service(service);
    return found != nullptr && found->calls ? &*found->calls : nullptr;
}

void gatherer::note_begun(const line& one, const decision::planned_call& plan)
{
    const instant now = m_context.now();
    std::uint64_t last = 0;
    for (const decision::piece_ref& ref : plan.pieces)
    {
        const decision::piece_job* job = one.planner.find(ref.job);
        if (job == nullptr || ref.job == last || job->is_begun())
            continue;
        last = ref.job;
        duration arrives_in = plan.expected;
        for (const decision::later_pieces& next : job->later)
        {
            const auto* shape = shape_of(next.service);
            if (shape == nullptr)
                continue;
            const auto targets =
                static_cast<duration::rep>(std::max<std::size_t>(
                    1, m_context.directory.serving(next.service).size()));
            const duration per_piece =
                (shape->per_call / shape->most_pieces + shape->per_piece) /
                targets;
            const duration wait =
                m_later.wait_at(next.service, now, arrives_in);
            m_later.note_begun(next.service, next.pieces, per_piece, now,
                               arrives_in);
            arrives_in += wait + m_later.call_at(next.service, shape->per_call);
        }
    }
}

std::map<std::string, gatherer::backlog> gatherer::backlogs() const
{
    const instant now = m_context.now();
    std::map<std::string, backlog> found;
    for (const auto& [service, one] : m_lines)
        if (one->used_at + still_gathered > now)
            found[service] = {one->planner.expected_wait(now),
                              one->planner.usual_call()};
    return found;
}

void gatherer::note_backlog(const std::string& service, const backlog& value)
{
    m_later.note_wait(service, value.wait, value.call, m_context.now());
}

std::vector<piece_order>
gatherer::orders(const line& one, const decision::planned_call& plan) const
{
    std::vector<piece_order> found;
    const instant now = m_context.now();
    for (const decision::piece_ref& ref : plan.pieces)
    {
        const decision::piece_job* job = one.planner.find(ref.job);
        if (job == nullptr)
            continue;
        found.push_back({job->request, job->stage, ref.piece,
                         until(job->expires, now), job->key, job->inputs});
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
    co_await timer.async_wait(into(ignored));
    line& one = *m_lines.at(service);
    for (const decision::piece_ref& ref : plan.pieces)
    {
        const auto asked = one.asked.find(ref.job);
        if (asked == one.asked.end() || asked->second.is_fetched ||
            one.planner.has_waiting(ref.job))
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
        one.planner.call_failed(plan, false, m_context.now());
        lose(one, plan);
        co_return;
    }
    const instant began = m_context.now();
    const auto sent = std::make_shared<target_call>(
        m_context.links, m_context.speech,
        call_target{target->id, runtime::address::parse(target->address)});
    const http_request request =
        m_context.speech.make_pieces(plan.target, orders(one, plan));
    const duration most = plan.expected * most_times + most_more;
    start(m_context.loop, note_fetched(service, plan, fetch_time(one, plan)));
    auto got = co_await sent->begin(request, {}, most);
    while (got == target_call::state::good && !sent->is_complete())
        got = co_await sent->more(most);
    const instant now = m_context.now();
    const bool is_full =
        got == target_call::state::good && sent->facts().has_not_run;
    constexpr unsigned ok = 200;
    if (got == target_call::state::good && sent->head().result_int() == ok)
    {
        one.planner.call_done(plan, now - began, now);
        try
        {
            take_results(one, plan,
                         m_context.speech.piece_results(sent->take_body()));
        }
        catch (const facts_error& fault)
        {
            runtime::event("call_unreadable")
                .with("target", plan.target)
                .with("fault", fault.what())
                .warn();
            lose(one, plan);
        }
        sent->finish();
    }
    else
    {
        one.planner.call_failed(plan, is_full, now);
        m_context.count("calls_failed", "why", is_full ? "full" : "lost");
        lose(one, plan);
        is_full ? sent->finish() : sent->abort();
    }
    one.pieces += plan.pieces.size();
    ++one.calls;
    end_finished(service, one);
    pump(service, one);
}

void gatherer::take_results(line& one, const decision::planned_call& plan,
                            const std::vector<piece_result>& results)
{
    const instant now = m_context.now();
    if (results.size() != plan.pieces.size())
    {
        lose(one, plan);
        return;
    }
    for (std::size_t index = 0; index < results.size(); ++index)
    {
        const decision::piece_ref& ref = plan.pieces[index];
        switch (results[index].what)
        {
        case piece_result::kind::made:
            one.planner.piece_made(ref, plan.target, results[index].handle,
                                   now);
            if (one.planner.find(ref.job) == nullptr)
                let_go(one, results[index].handle);
            break;
        case piece_result::kind::no_room:
            m_context.count("pieces_lost", "why", "room");
            ++one.no_room;
            one.planner.no_room(plan.target, now);
            one.planner.piece_lost(ref);
            break;
        case piece_result::kind::failed:
            m_context.count("pieces_lost", "why", "failed");
            one.planner.piece_lost(ref);
            break;
        case piece_result::kind::late:
            m_context.count("pieces_lost", "why", "late");
            give_up(one, ref, decision::job_end::late);
            break;
        case piece_result::kind::gone:
            m_context.count("pieces_lost", "why", "gone");
            give_up(one, ref, decision::job_end::gone);
            break;
        }
    }
}

void gatherer::give_up(line& one, const decision::piece_ref& piece,
                       decision::job_end end)
{
    const auto asked = one.asked.find(piece.job);
    if (asked != one.asked.end())
        asked->second.given_up = end;
    one.planner.piece_lost(piece);
}

void gatherer::let_go(line& one, const std::string& handle)
{
    one.to_release[m_context.speech.maker_of(handle)].push_back(handle);
}

void gatherer::lose(line& one, const decision::planned_call& plan)
{
    std::uint64_t last = 0;
    for (const decision::piece_ref& ref : plan.pieces)
    {
        one.planner.piece_lost(ref);
        const auto asked = one.asked.find(ref.job);
        if (asked == one.asked.end())
            continue;
        if (ref.job != last)
            ++asked->second.losses;
        if (asked->second.is_fetched)
            asked->second.given_up = decision::job_end::gone;
        last = ref.job;
    }
}

void gatherer::end_job(const std::string& service, line& one,
                       std::uint64_t number, decision::job_end end,
                       std::vector<std::string> handles, bool was_late)
{
    const auto asked = one.asked.find(number);
    if (asked == one.asked.end())
        return;
    const outcome_sink done = std::move(asked->second.done);
    one.asked.erase(asked);
    std::vector<std::string> kept = handles;
    const bool is_made = end == decision::job_end::made;
    if (!is_made)
        handles.clear();
    const bool is_taken = done({end, std::move(handles), was_late});
    if (!is_made || !is_taken)
        release(service, kept);
}

void gatherer::end_finished(const std::string& service, line& one)
{
    for (auto& done : one.planner.take_finished())
        end_job(service, one, done.job.number, decision::job_end::made,
                std::move(done.handles), done.job.is_late);
}

// Pieces that nobody waits for any more, or that can't be ready in time, only
// take the room and the time of others.
void gatherer::end_unwanted(const std::string& service, line& one)
{
    std::vector<std::pair<std::uint64_t, decision::job_end>> ended;
    for (const auto& [number, asked] : one.asked)
    {
        if (!asked.wanted())
            ended.emplace_back(number, decision::job_end::late);
        else if (asked.given_up)
            ended.emplace_back(number, *asked.given_up);
        else if (asked.losses >= most_losses)
            ended.emplace_back(number, decision::job_end::failed);
    }
    for (const auto& [number, end] : ended)
        if (auto job = one.planner.take(number))
            end_job(service, one, number, end, std::move(job->handles));
    for (auto& late : one.planner.take_expired(m_context.now(), m_outlook))
    {
        ++one.late;
        end_job(service, one, late.job.number, decision::job_end::late,
                std::move(late.handles));
    }
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
        std::string id;
        for (const auto* target : m_context.directory.serving(service))
            if (target->address == where)
                id = target->id;
        if (id.empty())
            continue;
        const auto sent = std::make_shared<target_call>(
            m_context.links, m_context.speech,
            call_target{id, runtime::address::parse(where)});
        auto got = co_await sent->begin(
            m_context.speech.release_results(handles), {}, most_more);
        while (got == target_call::state::good && !sent->is_complete())
            got = co_await sent->more(most_more);
        if (got != target_call::state::good)
            m_context.count("releases", "how", "lost");
        for (const std::string& handle : handles)
            one.planner.released(handle);
        sent->finish();
    }
}

void gatherer::summarize(const std::string& service, line& one)
{
    if (one.calls == 0 && one.planner.waiting_jobs() == 0)
        return;
    const instant now = m_context.now();
    runtime::event("service_gathered")
        .with("service", service)
        .with("calls", one.calls)
        .with("pieces", one.pieces)
        .with("waiting_jobs", one.planner.waiting_jobs())
        .with("waiting_pieces", one.planner.waiting_pieces())
        .with("wait_ms", static_cast<std::uint64_t>(
                             one.planner.expected_wait(now).count() / 1000000))
        .with("room_used", one.planner.kept_bytes())
        .with("no_room", one.no_room)
        .with("late", one.late)
        .info();
    m_context.metrics.count({"calls", runtime::label("service", service)}) +=
        one.calls;
    m_context.metrics.count({"pieces", runtime::label("service", service)}) +=
        one.pieces;
    one.calls = 0;
    one.pieces = 0;
    one.no_room = 0;
    one.late = 0;
}

awaitable<void> gatherer::run()
{
    loop_timer timer(m_context.loop);
    for (;;)
    {
        error_code ignored; // Nobody cancels it.
        timer.expires_after(tick);
        co_await timer.async_wait(into(ignored));
        for (const auto& [service, value] : backlogs())
            note_backlog(service, value);
        for (auto& [service, one] : m_lines)
        {
            if (!one->asked.empty())
                pump(service, *one);
            if (!one->to_release.empty())
                start(m_context.loop, send_releases(service));
        }
        if (m_context.now() < m_summarized_at + summary_interval)
            continue;
        m_summarized_at = m_context.now();
        for (auto& [service, one] : m_lines)
            summarize(service, *one);
    }
}

} // namespace mangofold::serving

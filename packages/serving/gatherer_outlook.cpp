#include "serving/gatherer.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// A request begins where a piece of its next stages would wait this many
/// times their calls' fixed time at most: less leaves gaps between their
/// calls, more fills the room for results.
constexpr int begin_within = 2;

/// The same for a request that will be late.
constexpr int late_within = 1;

/// How long an outlook holds while no new work was begun: a hundredth of a
/// call. It is asked for each waiting request at each new piece, and worked
/// out anew each time it took most of a gatherer's processor time in a burst.
constexpr duration foreseen_for = std::chrono::milliseconds(2);

/// What waits at a service is said while work for it came this recently.
constexpr duration still_gathered = std::chrono::seconds(1);

} // namespace

// A request begins when its next stages can take it about a call's time after
// this one is done. That keeps each of them busy, and little waiting there.
// One that will be late only takes what the others leave.
gatherer::foresight gatherer::look_ahead(const decision::stage_job& job,
                                         duration call, bool is_late) const
{
    const instant now = m_context.now();
    foresight seen;
    seen.call = call;
    seen.is_late = is_late;
    duration arrives_in = call;
    for (const decision::downstream_pieces& one : job.downstream)
    {
        seen.services.push_back(one.service);
        const auto* shape = shape_of(one.service);
        if (shape == nullptr)
            continue;
        const duration wait =
            m_later.expected_wait(one.service, now, arrives_in, is_late);
        const duration most =
            shape->time_per_call * (is_late ? late_within : begin_within);
        seen.may_begin = seen.may_begin && wait <= most;
        arrives_in +=
            wait + m_later.call_time(one.service, shape->time_per_call);
    }
    seen.time_after = arrives_in - call;
    return seen;
}

const gatherer::foresight& gatherer::foresee(const decision::stage_job& job,
                                             duration call, bool is_late)
{
    const instant now = m_context.now();
    if (now > m_foreseen_at + foreseen_for)
    {
        m_foreseen.clear();
        m_foreseen_at = now;
    }
    for (const foresight& one : m_foreseen)
        if (one.call == call && one.is_late == is_late &&
            std::equal(one.services.begin(), one.services.end(),
                       job.downstream.begin(), job.downstream.end(),
                       [](const std::string& service,
                          const decision::downstream_pieces& later)
                       { return service == later.service; }))
            return one;
    return m_foreseen.emplace_back(look_ahead(job, call, is_late));
}

const catalog::call_profile*
gatherer::shape_of(const std::string& service) const
{
    const auto* found = m_context.catalog->find_service(service);
    return found != nullptr && found->calls ? &*found->calls : nullptr;
}

void gatherer::note_begun(const line& one, const decision::planned_call& plan)
{
    const instant now = m_context.now();
    m_foreseen.clear();
    std::uint64_t last = 0;
    for (const decision::piece_ref& ref : plan.pieces)
    {
        const decision::stage_job* job = one.planner.find(ref.job);
        if (job == nullptr || ref.job == last || job->is_started)
            continue;
        last = ref.job;
        duration arrives_in = plan.expected_time;
        for (const decision::downstream_pieces& next : job->downstream)
        {
            const auto* shape = shape_of(next.service);
            if (shape == nullptr)
                continue;
            const auto targets =
                static_cast<duration::rep>(std::max<std::size_t>(
                    1, m_context.directory.serving(next.service).size()));
            const duration per_piece =
                (shape->time_per_call / shape->max_pieces +
                 shape->time_per_piece) /
                targets;
            const duration wait = m_later.expected_wait(
                next.service, now, arrives_in, job->is_late);
            m_later.note_started(next, per_piece, now, arrives_in,
                                 job->is_late);
            arrives_in +=
                wait + m_later.call_time(next.service, shape->time_per_call);
        }
    }
}

std::map<std::string, decision::service_wait_times> gatherer::waits() const
{
    const instant now = m_context.now();
    std::map<std::string, decision::service_wait_times> found;
    for (const auto& [service, one] : m_lines)
        if (one->used_at + still_gathered > now)
            found[service] = {one->planner.expected_wait(now, false),
                              one->planner.expected_wait(now, true),
                              one->planner.average_call_time()};
    return found;
}

void gatherer::note_wait(const std::string& service,
                         const decision::service_wait_times& said)
{
    m_foreseen.clear();
    m_later.note_wait_times(service, said, m_context.now());
}

} // namespace mangofold::serving

#include "serving/gatherer.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// A request is started if a piece of its next stages would wait at most this
/// many times the fixed time of their calls: a lower bound leaves gaps between
/// their calls, a higher one fills the memory for results.
constexpr int begin_within = 2;

/// The same bound for a request that will miss its deadline.
constexpr int late_within = 1;

/// How long a forecast is valid while no new work is started: a hundredth of a
/// call's time. It is needed for each waiting request at each new piece;
/// computing it each time took most of the batching entry's processor time
/// during a burst.
constexpr duration foreseen_for = std::chrono::milliseconds(2);

/// The wait times of a service are reported while jobs for it arrived within
/// this time.
constexpr duration still_gathered = std::chrono::seconds(1);

} // namespace

// A request is started when its next stages can accept it about a call's time
// after this one is done. That keeps the next stages busy with short queues. A
// request that will miss its deadline only takes capacity that the others
// leave.
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
            shape->per_call * (is_late ? late_within : begin_within);
        seen.may_begin = seen.may_begin && wait <= most;
        arrives_in += wait + m_later.call_time(one.service, shape->per_call);
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

const catalog::call_shape* gatherer::shape_of(const std::string& service) const
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
                (shape->per_call / shape->most_pieces + shape->per_piece) /
                targets;
            const duration wait = m_later.expected_wait(
                next.service, now, arrives_in, job->is_late);
            m_later.note_started(next, per_piece, now, arrives_in,
                                 job->is_late);
            arrives_in +=
                wait + m_later.call_time(next.service, shape->per_call);
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

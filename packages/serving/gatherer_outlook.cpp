#include "serving/gatherer.hpp"

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

/// What waits at a service is said while work for it came this recently.
constexpr duration still_gathered = std::chrono::seconds(1);

} // namespace

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

} // namespace mangofold::serving

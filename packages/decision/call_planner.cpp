#include "decision/call_planner.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace mangofold::decision
{

namespace
{

/// How long a target that refused or failed is left alone at first, and at
/// most: a call's fixed time is the least after which it can be free again.
constexpr double most_rests = 8;

/// Weight of the newest call in a target's slowness. Half forgets a slow
/// spell within three calls, about a second.
constexpr double newest_weight = 0.5;

/// A target that looks this much slower than it should is used only where
/// waiting for another one takes longer.
constexpr double is_slow = 1.5;

/// What a request's stages take at most, as a share of what they are expected
/// to take: a request that begins with no time to spare mostly ends late, and
/// takes the place of one in time. With a large share whole bursts count as
/// late, and nothing tells their requests apart.
constexpr double time_margin = 1.2;

duration with_margin(duration expected)
{
    return duration(static_cast<duration::rep>(
        time_margin * static_cast<double>(expected.count())));
}

/// After this many calls' fixed time a slow target is tried again, with one
/// job, the least urgent: about a second, in which a slow spell can be over.
constexpr int trial_after = 5;

/// The part of a call's fixed time that a job waits for a target of its own
/// zone: a half. Three stages then cost at most a tenth of an aim of two to
/// three seconds more.
constexpr int zone_patience = 2;

/// The share of its room that is filled on purpose; the rest is for results
/// whose size is only roughly known.
constexpr double room_share = 0.97;

} // namespace

void call_planner::add(piece_job job)
{
    job_state state;
    const std::uint64_t number = job.number;
    for (std::uint32_t piece = 0; piece < job.pieces; ++piece)
        state.waiting.push_back(piece);
    m_waiting_pieces += state.waiting.size();
    state.job = std::move(job);
    m_jobs.insert_or_assign(number, std::move(state));
}

duration call_planner::expected_time(const stage_target& target,
                                     std::size_t pieces) const
{
    const double nominal = static_cast<double>(m_shape.per_call.count()) +
                           static_cast<double>(m_shape.per_piece.count()) *
                               static_cast<double>(pieces);
    return duration(static_cast<duration::rep>(nominal * target.slowness));
}

// Nothing would tell that a slow target is quick again if nothing were sent
// there any more.
bool call_planner::is_trial(const stage_target& target, instant now) const
{
    return target.slowness >= is_slow &&
           now >= target.called_at + m_shape.per_call * trial_after;
}

// A slow target ties up its pieces for several calls' time: they are better
// off waiting for a quick one to be free, unless that takes longer still.
bool call_planner::is_worth_waiting(const stage_target& target,
                                    instant now) const
{
    if (target.slowness < is_slow || is_trial(target, now))
        return false;
    const instant own = now + expected_time(target, m_shape.most_pieces);
    return std::any_of(
        m_targets.begin(), m_targets.end(),
        [&](const auto& one)
        {
            const stage_target& other = one.second;
            if (other.start == target.start || other.aside_until > now)
                return false;
            const instant free = std::max(other.free_at, now);
            return free + expected_time(other, m_shape.most_pieces) < own;
        });
}

std::vector<stage_target*> call_planner::free_targets(instant now)
{
    std::vector<stage_target*> found;
    for (auto& [id, target] : m_targets)
    {
        if (target.running >= m_shape.slots || target.aside_until > now ||
            is_worth_waiting(target, now))
            continue;
        target.drop_ended(now);
        found.push_back(&target);
    }
    const auto rank = [](const stage_target* one)
    { return std::pair(one->slowness, one->kept_bytes); };
    std::sort(found.begin(), found.end(),
              [&rank](const stage_target* left, const stage_target* right)
              { return rank(left) < rank(right); });
    return found;
}

// Results that cross zones take long on a link that many use.
// A job that has just come waits a little for a target of its own zone that
// will be free soon.
bool call_planner::waits_for_zone(const piece_job& job,
                                  const stage_target& target, instant now) const
{
    if (job.zone.empty() || job.zone == target.zone)
        return false;
    const instant until = job.asked_at + m_shape.per_call / zone_patience;
    if (until <= now)
        return false;
    return std::any_of(m_targets.begin(), m_targets.end(),
                       [&](const auto& one)
                       {
                           const stage_target& other = one.second;
                           return other.zone == job.zone &&
                                  other.slowness < is_slow &&
                                  std::max(other.free_at, other.aside_until) <=
                                      until;
                       });
}

// The most urgent goes first, by when it is due and how much it yields. A
// request that would be late waits behind those that can be in time, so that
// one late request does not make all others late too. Whether it would be is
// decided once, when it begins: one that was begun in time goes on as it is,
// or what was made for it would be dropped and made again. One whose results
// are better made in another zone counts as due a call's time later.
std::vector<call_planner::job_state*>
call_planner::in_order(const stage_target& target, instant now,
                       const outlook& later)
{
    std::vector<std::pair<std::pair<bool, instant>, job_state*>> order;
    const duration call = usual_call();
    for (auto& [number, state] : m_jobs)
    {
        if (state.waiting.empty())
            continue;
        piece_job& job = state.job;
        if (!job.is_begun)
            job.is_late =
                now + with_margin(call + later.time_after(job, call, false)) >
                job.due;
        if (waits_for_zone(job, target, now))
            continue;
        // Ranks decide who begins. Of those that have begun, a less urgent
        // one that is held back ends late, and its work was for little.
        instant counts_as = job.due;
        if (!job.is_begun)
            counts_as += job.yields;
        if (!job.zone.empty() && job.zone != target.zone)
            counts_as += call;
        order.push_back({{job.is_late, counts_as}, &state});
    }
    std::sort(order.begin(), order.end());
    std::vector<job_state*> jobs;
    jobs.reserve(order.size());
    for (const auto& [key, state] : order)
        jobs.push_back(state);
    return jobs;
}

// One request that ends its targets would take all others of its call with it,
// again and again: they are due together, and so are made together again.
// Those of a call whose target ended are made in two calls, and after a second
// end each in one of its own, so that only the one that does it loses a third
// time.
bool call_planner::may_share(const job_state& one,
                             const planned_call& call) const
{
    if (call.pieces.empty())
        return true;
    if (one.targets_ended > 1)
        return false;
    std::size_t in_doubt = one.targets_ended == 0 ? 0 : one.waiting.size();
    for (const piece_ref& piece : call.pieces)
    {
        const std::uint32_t ended = m_jobs.at(piece.job).targets_ended;
        if (ended > 1)
            return false;
        in_doubt += ended;
    }
    return in_doubt <= m_shape.most_pieces / 2;
}

void call_planner::fill(planned_call& call, stage_target& target, instant now,
                        const outlook& later)
{
    const auto room = static_cast<std::uint64_t>(
        static_cast<double>(m_shape.room_bytes) * room_share);
    std::uint64_t used = target.kept_bytes + target.reserved_bytes;
    std::size_t space = m_shape.most_pieces;
    const bool is_one_job = is_trial(target, now);
    std::vector<job_state*> order = in_order(target, now, later);
    if (is_one_job)
        std::reverse(order.begin(), order.end());
    for (job_state* state : order)
    {
        if (space == 0 || (is_one_job && !call.pieces.empty()))
            break;
        const piece_job& job = state->job;
        if (!may_share(*state, call) ||
            (!job.is_begun && !later.may_begin(job, usual_call())))
            continue;
        const std::uint64_t bytes = state->job.result_bytes;
        const std::uint64_t fits =
            bytes == 0 ? space : (room > used ? (room - used) / bytes : 0);
        const std::size_t wanted = state->waiting.size();
        std::size_t some = std::min<std::size_t>(
            {wanted, space, static_cast<std::size_t>(fits)});
        // A job is made in one call where it can be: in two it would wait
        // for the later one. Only one that no call could hold is split.
        if (some < wanted && wanted <= m_shape.most_pieces &&
            wanted * bytes <= room)
            continue;
        for (; some > 0; --some)
        {
            call.pieces.push_back({state->job.number, state->waiting.back()});
            state->waiting.pop_back();
            used += bytes;
            target.reserved_bytes += bytes;
            call.bytes += bytes;
            --space;
            --m_waiting_pieces;
        }
    }
}

std::optional<planned_call> call_planner::next_call(instant now,
                                                    const outlook& later)
{
    if (m_waiting_pieces == 0)
        return std::nullopt;
    for (stage_target* target : free_targets(now))
    {
        planned_call call;
        call.target = target->start;
        fill(call, *target, now, later);
        if (call.pieces.empty())
            continue;
        call.expected = expected_time(*target, call.pieces.size());
        ++target->running;
        target->free_at = now + call.expected;
        return call;
    }
    return std::nullopt;
}

void call_planner::call_done(const planned_call& call, duration took,
                             instant now)
{
    const auto found = m_targets.find(call.target);
    if (found == m_targets.end())
        return;
    stage_target& one = found->second;
    one.running -= one.running > 0 ? 1 : 0;
    one.reserved_bytes -= std::min(one.reserved_bytes, call.bytes);
    one.failures = 0;
    one.called_at = now;
    one.free_at = now;
    const auto nominal = static_cast<double>(
        (m_shape.per_call +
         m_shape.per_piece * static_cast<duration::rep>(call.pieces.size()))
            .count());
    constexpr double call_weight = 0.1; // About two seconds' calls.
    const auto ns = static_cast<double>(took.count());
    m_usual_call_ns =
        m_usual_call_ns == 0
            ? ns
            : m_usual_call_ns + call_weight * (ns - m_usual_call_ns);
    const double seen = static_cast<double>(took.count()) / nominal;
    // One quick call says that a slow spell is over; one slow call may have
    // had other causes.
    one.slowness = seen < is_slow ? std::max(1.0, seen)
                                  : one.slowness * (1 - newest_weight) +
                                        newest_weight * seen;
}

void call_planner::call_failed(const planned_call& call, bool is_full,
                               instant now)
{
    const auto found = m_targets.find(call.target);
    if (found == m_targets.end())
        return;
    stage_target& one = found->second;
    one.running -= one.running > 0 ? 1 : 0;
    one.reserved_bytes -= std::min(one.reserved_bytes, call.bytes);
    ++one.failures;
    const double rests =
        is_full ? 0.5 : std::min<double>(one.failures, most_rests);
    one.aside_until =
        now + duration(static_cast<duration::rep>(
                  rests * static_cast<double>(m_shape.per_call.count())));
    one.free_at = one.aside_until;
}

// Nobody knows the names of these results, so nobody can let go of them. Calls
// that are made as if there were room come back without most of their pieces.
void call_planner::call_lost(const planned_call& call, instant now)
{
    call_failed(call, false, now);
    const auto found = m_targets.find(call.target);
    if (found != m_targets.end() && call.bytes > 0)
        found->second.keep("lost/" + std::to_string(++m_lost_calls), call.bytes,
                           now + m_shape.result_lifetime);
}

void call_planner::no_room(const target_incarnation& target, instant now)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end())
        found->second.aside_until = now + m_shape.per_call / 2;
}

} // namespace mangofold::decision

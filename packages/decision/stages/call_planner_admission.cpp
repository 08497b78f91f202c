#include "decision/admission/admission_forecast.hpp"
#include "decision/admission/return_schedule.hpp"
#include "decision/stages/call_planner.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace mangofold::decision
{

namespace
{

/// How long a forecast is used while no job arrives: a tenth of a call's fixed
/// time.
constexpr duration forecast_validity = std::chrono::milliseconds(20);

/// While requests are late, a forecast is used for this time even if jobs have
/// arrived since; these start after the next one. A forecast of 700 waiting
/// jobs takes a tenth of a millisecond, and jobs arrive hundreds of times a
/// second.
constexpr duration overload_validity = std::chrono::milliseconds(10);

/// A planner rejects nothing in its first second: the jobs that other entries
/// submit again after a failover arrive all at once, and what later services
/// report is not known yet.
constexpr duration initial_grace = std::chrono::seconds(1);

/// Divisor of a call's size that gives how many jobs of one rank go first for
/// the minimum share.
constexpr std::uint32_t max_first_divisor = 4;

/// Least share of each call that streams which are taken up may have before all
/// other work. With half of each call, 400 streams made four times as many
/// urgent requests late.
constexpr double min_continued_share = 1.0 / 3;

/// Safety factor on the work of the streams that are taken up.
constexpr double continued_margin = 1.2;

/// After this time without jobs, the first second of a planner counts again.
constexpr duration idle_period = std::chrono::seconds(10);

} // namespace

bool call_planner::job_state::is_unstarted() const
{
    return !job.is_started && !has_been_started;
}

bool call_planner::has_usable_target(instant now) const
{
    return std::any_of(m_targets.begin(), m_targets.end(),
                       [now](const auto& entry)
                       { return entry.second.backoff_until <= now; });
}

// Targets whose call failed get no calls for a short time. If the rate without
// them counted at once, most of the waiting jobs would be rejected.
duration call_planner::steady_time_per_piece(instant now)
{
    const auto current = static_cast<double>(time_per_piece(now).count());
    const double passed_s =
        std::chrono::duration<double>(now - m_steady_rate_at).count();
    const double longest = m_steady_ns_per_piece * (1 + passed_s);
    const bool is_known = m_steady_ns_per_piece > 0;
    m_steady_ns_per_piece = is_known ? std::min(current, longest) : current;
    m_steady_rate_at = now;
    return duration(static_cast<duration::rep>(m_steady_ns_per_piece));
}

service_outlook call_planner::own_outlook(instant now)
{
    instant first_free = instant::max();
    for (const auto& [id, target] : m_targets)
        first_free =
            std::min(first_free, target.calls_in_progress < m_profile.slots
                                     ? target.unavailable_until()
                                     : std::max(target.free_at,
                                                target.unavailable_until()));
    // An unknown wait admits: the times of targets to which this entry may not
    // send at all would overflow.
    const duration wait = first_free == instant::max()
                              ? duration::zero()
                              : std::max(first_free, now) - now;
    return {wait, wait, steady_time_per_piece(now), average_call_time(),
            m_admission.spare_share({}, now)};
}

// Jobs that are in time reserve capacity that late ones can't have; each counts
// once, when it is first seen.
void call_planner::note_arrival(job_state& state, admission_forecast& forecast,
                                instant now)
{
    if (std::exchange(state.has_been_forecast, true))
        return;
    const stage_job& job = state.job;
    if (!m_last_arrival_at || now > *m_last_arrival_at + idle_period)
        m_planning_since = now;
    m_last_arrival_at = now;
    m_admission.note_arrival(job, now);
    m_admission_counts[job.urgency].returned += job.is_returning ? 1 : 0;
    if (job.is_late)
        return;
    const auto note = [&](const std::string& service, std::uint32_t pieces)
    {
        m_admission.note_work_on_time(
            service, job.urgency,
            forecast.outlook(service).time_per_piece * pieces, now);
    };
    note({}, job.pieces);
    for (const downstream_pieces& stage : job.downstream)
        note(stage.service, stage.pieces);
}

// At a service that some requests reach with their first stage and others with
// a later one, requests in their later stages leave less capacity to late jobs.
void call_planner::note_started_arrival(job_state& state,
                                        admission_forecast& forecast,
                                        instant now)
{
    if (std::exchange(state.has_been_forecast, true) || state.job.is_late)
        return;
    m_admission.note_work_on_time(
        {}, state.job.urgency,
        forecast.outlook({}).time_per_piece * state.job.pieces, now);
}

std::vector<admission_candidate>
call_planner::unstarted_jobs(admission_forecast& forecast,
                             std::vector<job_state*>& states, instant now)
{
    const auto account_starts = m_admission.account_starts(now);
    std::vector<admission_candidate> found;
    for (auto& [number, state] : m_jobs)
    {
        if (state.waiting.empty())
            continue;
        const auto pieces = static_cast<std::uint32_t>(state.waiting.size());
        if (!state.is_unstarted())
        {
            forecast.add_started(state.job, pieces);
            note_started_arrival(state, forecast, now);
            continue;
        }
        const auto starts = account_starts.find(state.job.account);
        admission_candidate& next = found.emplace_back();
        next.job = &state.job;
        next.pieces = pieces;
        next.was_on_time = state.has_been_forecast && !state.job.is_late;
        next.account_starts =
            starts == account_starts.end() ? 0 : starts->second;
        states.push_back(&state);
    }
    return found;
}

// Only while requests are late: without overload all ranks are served, and a
// rank seems starved when its first job has just arrived. A rank gets at most a
// part of each call, so that others get the rest.
void call_planner::choose_first_jobs(
    std::vector<admission_candidate>& candidates, instant now)
{
    if (!m_is_overloaded)
        return;
    const std::uint32_t max_jobs =
        std::max(1U, m_profile.max_pieces / max_first_divisor);
    for (const auto& [rank, missing] : m_admission.starved_ranks(now))
    {
        std::vector<admission_candidate*> waiting;
        for (admission_candidate& candidate : candidates)
            if (candidate.job->urgency == rank)
                waiting.push_back(&candidate);
        const auto chosen =
            std::min<std::size_t>({missing, max_jobs, waiting.size()});
        const auto end = waiting.begin() + static_cast<std::ptrdiff_t>(chosen);
        std::partial_sort(
            waiting.begin(), end, waiting.end(),
            [](const auto* left, const auto* right)
            { return left->job->queued_at < right->job->queued_at; });
        std::for_each(waiting.begin(), end,
                      [](admission_candidate* candidate)
                      { candidate->goes_first = true; });
    }
}

// The share of the capacity that \a streams, in the order in which they expire,
// need so that none of them does.
double
call_planner::share_needed(const std::vector<admission_candidate*>& streams,
                           admission_forecast& forecast, instant now)
{
    double share = 0;
    std::map<std::string_view, duration> work;
    for (const admission_candidate* candidate : streams)
    {
        duration chain{};
        duration longest_work{};
        const auto add = [&](const std::string& service, std::uint32_t pieces)
        {
            const service_outlook& outlook = forecast.outlook(service);
            chain += outlook.call_time;
            duration& all = work[service];
            all += outlook.time_per_piece * pieces;
            longest_work = std::max(longest_work, all);
        };
        add({}, candidate->pieces); // The planner's own service.
        for (const downstream_pieces& stage : candidate->job->downstream)
            add(stage.service, stage.pieces);
        const duration left = candidate->job->expires - now - chain;
        // No share helps a stream without time for its stages.
        if (left > duration::zero())
            share = std::max(share, static_cast<double>(longest_work.count()) /
                                        static_cast<double>(left.count()));
    }
    return share;
}

// A late job of a resumed stream would wait behind all new jobs that are in
// time, until its caller disconnects, and the part that was already generated
// would be wasted. Only a part of each call goes to such streams, so that they
// mostly delay urgent requests instead of making them late.
void call_planner::choose_continued_streams(
    std::vector<admission_candidate>& candidates, admission_forecast& forecast,
    instant now)
{
    std::vector<admission_candidate*> waiting;
    for (admission_candidate& candidate : candidates)
        if (candidate.job->continues_stream)
            waiting.push_back(&candidate);
    std::sort(waiting.begin(), waiting.end(),
              [](const auto* left, const auto* right)
              {
                  return std::tie(left->job->expires, left->job->number) <
                         std::tie(right->job->expires, right->job->number);
              });
    const double share =
        std::clamp(continued_margin * share_needed(waiting, forecast, now),
                   min_continued_share, 1.0);
    const auto max_pieces =
        static_cast<std::uint32_t>(share * m_profile.max_pieces);
    std::uint32_t pieces = 0;
    for (admission_candidate* candidate : waiting)
    {
        if (pieces > 0 && pieces + candidate->pieces > max_pieces)
            break;
        pieces += candidate->pieces;
        candidate->goes_first = true;
    }
}

// Started requests are served by due time. A queue of less urgent ones with a
// long objective would make urgent ones with a short objective late at a later
// service, so that the urgent ones would be rejected first.
bool call_planner::yields_to_urgent(const stage_job& job) const
{
    return std::any_of(job.downstream.begin(), job.downstream.end(),
                       [&](const downstream_pieces& stage)
                       {
                           const auto most_urgent =
                               m_most_urgent.find(stage.service);
                           return most_urgent != m_most_urgent.end() &&
                                  most_urgent->second < job.urgency;
                       });
}

void call_planner::update_forecast(instant now,
                                   const downstream_estimates& downstream)
{
    const duration validity = !m_is_forecast_outdated ? forecast_validity
                              : m_is_overloaded       ? overload_validity
                                                      : duration::zero();
    if (now < m_forecast_at + validity)
        return;
    m_is_forecast_outdated = false;
    m_forecast_at = now;
    admission_forecast forecast(
        now, own_outlook(now),
        [&](const std::string& service)
        {
            service_outlook outlook = downstream.outlook(service);
            outlook.spare_share = m_admission.spare_share(service, now);
            return outlook;
        },
        m_profile.max_pieces);
    m_most_urgent = m_admission.most_urgent(now);
    std::vector<job_state*> states;
    std::vector<admission_candidate> candidates =
        unstarted_jobs(forecast, states, now);
    choose_first_jobs(candidates, now);
    choose_continued_streams(candidates, forecast, now);
    forecast.evaluate(candidates);
    m_is_overloaded = false;
    for (std::size_t index = 0; index < states.size(); ++index)
    {
        job_state& state = *states[index];
        const admission_candidate& found = candidates[index];
        state.goes_first = found.goes_first;
        state.is_hopeless = found.is_hopeless;
        state.account_turn = found.account_turn;
        state.backlog = found.backlog;
        // A job that goes first is started as if it were in time, or it would
        // be the last one at the next service.
        state.job.is_late = found.is_late && !found.goes_first;
        m_is_overloaded = m_is_overloaded || found.is_late;
        note_arrival(state, forecast, now);
    }
}

void call_planner::note_starts(const planned_call& call, instant now)
{
    for (const piece_ref& piece : call.pieces)
    {
        job_state& state = m_jobs.at(piece.job);
        if (state.job.is_started || std::exchange(state.has_been_started, true))
            continue;
        m_admission.note_start(state.job, now);
        // A new forecast lets the next streams go first in the next call.
        if (state.goes_first && state.job.continues_stream)
            m_forecast_at = {};
        admission_counts& counts = m_admission_counts[state.job.urgency];
        ++counts.started;
        counts.late += state.job.is_late ? 1 : 0;
    }
}

duration call_planner::return_delay_of(const job_state& state, instant now)
{
    const stage_job& job = state.job;
    double spare = m_admission.spare_share({}, job.urgency, now);
    for (const downstream_pieces& stage : job.downstream)
        spare = std::min(
            spare, m_admission.spare_share(stage.service, job.urgency, now));
    return return_delay({state.backlog, spare, average_call_time(),
                         job.expires - now, job.content});
}

std::vector<call_planner::rejected_job>
call_planner::take_rejected(instant now, const downstream_estimates& downstream)
{
    std::vector<rejected_job> rejected;
    if (m_jobs.empty())
        return rejected;
    update_forecast(now, downstream);
    if (now < m_planning_since + initial_grace || !has_usable_target(now))
        return rejected;
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();)
    {
        const auto next = std::next(entry);
        job_state& state = entry->second;
        if (state.is_hopeless && state.is_unstarted())
        {
            const duration retry_in = return_delay_of(state, now);
            ++m_admission_counts[state.job.urgency].rejected;
            rejected.push_back({remove(entry).job, retry_in});
        }
        entry = next;
    }
    return rejected;
}

std::map<urgency, admission_counts> call_planner::take_admission_counts()
{
    return std::exchange(m_admission_counts, {});
}

} // namespace mangofold::decision

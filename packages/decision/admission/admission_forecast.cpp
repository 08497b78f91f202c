#include "decision/admission/admission_forecast.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace mangofold::decision
{

namespace
{

/// Safety factor on the expected time of a request's stages. A request that
/// starts without any slack mostly ends late, and takes capacity from one that
/// would have been on time. With a large factor all requests of a burst count
/// as late, and none of them is preferred any more.
constexpr double time_margin = 1.2;

/// The same for a request that was found to be on time before. With equal
/// factors, a request admitted at the limit is late a moment later, since calls
/// do not start at even intervals, and its rejection takes longer than needed.
constexpr double kept_time_margin = 1.1;

/// The turn of a stream that is taken up and doesn't go before all other work
/// at this time: first within its rank, and within its account where accounts
/// take turns.
constexpr double continued_turn = -1;

duration scaled(duration time, double factor)
{
    return duration(
        static_cast<duration::rep>(factor * static_cast<double>(time.count())));
}

bool is_due_first(const admission_candidate* left,
                  const admission_candidate* right)
{
    return std::tie(left->account_turn, left->job->due, left->job->number) <
           std::tie(right->account_turn, right->job->due, right->job->number);
}

bool has_one_account(std::vector<admission_candidate*>::iterator begin,
                     std::vector<admission_candidate*>::iterator end)
{
    return std::all_of(
        begin, end,
        [begin](const admission_candidate* candidate)
        { return candidate->job->account == (*begin)->job->account; });
}

// The account with the fewest starts has the next turn. Each further job of an
// account counts as one more start, so that accounts alternate instead of the
// one with the fewest starts going first with all its jobs.
void assign_account_turns(std::vector<admission_candidate*>::iterator begin,
                          std::vector<admission_candidate*>::iterator end)
{
    std::map<std::string_view, double> jobs;
    for (auto candidate = begin; candidate != end; ++candidate)
    {
        double& earlier = jobs[(*candidate)->job->account];
        (*candidate)->account_turn = (*candidate)->account_starts + ++earlier;
    }
}

} // namespace

admission_forecast::admission_forecast(instant now, const service_outlook& own,
                                       outlook_source downstream,
                                       std::uint32_t late_reserve)
    : m_now(now), m_downstream(std::move(downstream)),
      m_late_reserve(late_reserve), m_stations{{{}, own}},
      m_backlogs{{own.wait_on_time, own.wait_late}}
{
}

// A path has few services, so that a linear search is the fastest.
std::size_t admission_forecast::station_of(const std::string& service)
{
    for (std::size_t index = 0; index < m_stations.size(); ++index)
        if (m_stations[index].service == service)
            return index;
    const service_outlook outlook = m_downstream(service);
    m_stations.push_back({service, outlook});
    m_backlogs.push_back({outlook.wait_on_time, outlook.wait_late});
    return m_stations.size() - 1;
}

// Returns how long the work waits. Late work starts after all work that is in
// time, and progresses at the rate which arrivals in time leave.
duration admission_forecast::pass(std::size_t at, std::uint32_t pieces,
                                  duration arrival, bool is_late)
{
    const service_outlook& outlook = m_stations[at].outlook;
    backlog& ahead = m_backlogs[at];
    const duration work = outlook.time_per_piece * pieces;
    const duration start =
        std::max(arrival, is_late ? ahead.late : ahead.on_time);
    if (is_late)
    {
        ahead.late = start + scaled(work, 1 / outlook.spare_share);
        return start - arrival;
    }
    ahead.on_time = start + work;
    ahead.late = std::max(ahead.late + work, ahead.on_time);
    return start - arrival;
}

admission_forecast::passage admission_forecast::pass_all(const stage_job& job,
                                                         std::uint32_t pieces,
                                                         bool is_late)
{
    passage result;
    const auto add_stage = [&](std::size_t at, std::uint32_t count)
    {
        const duration wait = pass(at, count, result.total, is_late);
        result.waits += wait;
        result.total += wait + m_stations[at].outlook.call_time;
        result.backlog = std::max(result.backlog, m_backlogs[at].on_time);
    };
    add_stage(0, pieces);
    for (const downstream_pieces& stage : job.downstream)
        add_stage(station_of(stage.service), stage.pieces);
    return result;
}

// Services that were not known when the backlogs were saved had no work yet.
void admission_forecast::restore(const std::vector<backlog>& saved)
{
    for (std::size_t at = 0; at < m_backlogs.size(); ++at)
    {
        const service_outlook& outlook = m_stations[at].outlook;
        m_backlogs[at] = at < saved.size()
                             ? saved[at]
                             : backlog{outlook.wait_on_time, outlook.wait_late};
    }
}

void admission_forecast::add_started(const stage_job& job, std::uint32_t pieces)
{
    pass(0, pieces, duration::zero(), job.is_late);
}

bool admission_forecast::place_on_time(admission_candidate& candidate)
{
    m_saved = m_backlogs;
    const passage expected = pass_all(*candidate.job, candidate.pieces, false);
    candidate.backlog = expected.backlog;
    candidate.is_hopeless = false;
    const double margin =
        candidate.was_on_time ? kept_time_margin : time_margin;
    candidate.is_late =
        m_now + scaled(expected.total, margin) > candidate.job->due;
    if (candidate.is_late)
        restore(m_saved);
    return !candidate.is_late;
}

// Without a wait of at least a call's time, there is no overload: the time that
// the caller allows is too short even for idle services.
void admission_forecast::place_late(admission_candidate& candidate)
{
    m_saved = m_backlogs;
    const passage expected = pass_all(*candidate.job, candidate.pieces, true);
    candidate.is_hopeless =
        !candidate.goes_first && !candidate.job->continues_stream &&
        m_late_pieces >= m_late_reserve &&
        expected.waits > m_stations.front().outlook.call_time &&
        m_now + scaled(expected.total, time_margin) > candidate.job->expires;
    if (candidate.is_hopeless)
        restore(m_saved);
    else
        m_late_pieces += candidate.pieces;
}

void admission_forecast::place_group(
    std::vector<admission_candidate*>::iterator begin,
    std::vector<admission_candidate*>::iterator end)
{
    std::sort(begin, end, is_due_first);
    const std::vector<backlog> before = m_backlogs;
    bool are_on_time = true;
    for (auto candidate = begin; candidate != end; ++candidate)
        are_on_time = place_on_time(**candidate) && are_on_time;
    if (are_on_time || has_one_account(begin, end))
        return;
    restore(before);
    assign_account_turns(begin, end);
    std::sort(begin, end, is_due_first);
    for (auto candidate = begin; candidate != end; ++candidate)
        place_on_time(**candidate);
}

void admission_forecast::evaluate(std::vector<admission_candidate>& candidates)
{
    std::vector<admission_candidate*> order;
    order.reserve(candidates.size());
    for (admission_candidate& candidate : candidates)
    {
        candidate.account_turn =
            candidate.job->continues_stream ? continued_turn : 0;
        order.push_back(&candidate);
    }
    const auto group_of = [](const admission_candidate* candidate)
    { return std::pair(!candidate->goes_first, candidate->job->urgency); };
    std::sort(order.begin(), order.end(),
              [&group_of](const auto* left, const auto* right)
              { return group_of(left) < group_of(right); });
    for (auto begin = order.begin(); begin != order.end();)
    {
        const auto end =
            std::find_if(begin, order.end(),
                         [&](const auto* candidate)
                         { return group_of(candidate) != group_of(*begin); });
        place_group(begin, end);
        begin = end;
    }
    std::erase_if(order,
                  [](const auto* candidate) { return !candidate->is_late; });
    std::sort(order.begin(), order.end(),
              [&group_of](const auto* left, const auto* right)
              {
                  const auto key = [&group_of](const auto* candidate) {
                      return std::pair(group_of(candidate),
                                       !candidate->job->is_returning);
                  };
                  return key(left) != key(right) ? key(left) < key(right)
                                                 : is_due_first(left, right);
              });
    for (admission_candidate* candidate : order)
        place_late(*candidate);
}

} // namespace mangofold::decision

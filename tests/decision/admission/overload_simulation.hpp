#pragma once

#include "decision/stages/call_planner.hpp"
#include "decision/stages/downstream_backlog.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace mangofold::test
{

/// A stage service with eight targets, which can do about 266 pieces a second,
/// and its planner. Jobs come from a list. A later service may follow.
class overload_simulation
{
public:
    struct request
    {
        decision::duration arrives{};
        decision::stage_job job;
        std::optional<decision::duration> done;
        std::optional<decision::duration> rejected;
        std::optional<decision::duration> expired;
        decision::duration retry_in{};
    };

    static catalog::call_profile profile()
    {
        using std::chrono::milliseconds;
        return {1,
                0,
                10,
                milliseconds(200),
                milliseconds(10),
                1 << 30,
                std::chrono::seconds(60)};
    }

    overload_simulation() { restart_planner(); }

    /// Has a second service follow, which can do \a per_second pieces. Its wait
    /// is reported ten times a second.
    void add_later_service(double per_second)
    {
        m_later_time_per_piece = decision::duration(
            static_cast<decision::duration::rep>(1e9 / per_second));
        estimates.outlook = [this](const std::string& service)
        {
            const decision::instant now = start + m_time;
            return decision::service_outlook{
                m_backlog.work_ahead(service, now, false),
                m_backlog.work_ahead(service, now, true),
                m_later_time_per_piece, later_call_time, 1};
        };
        estimates.remaining_time = [this](const decision::stage_job&,
                                          decision::duration call, bool is_late)
        {
            return later_call_time + m_backlog.expected_wait("later",
                                                             start + m_time,
                                                             call, is_late);
        };
        estimates.may_start = [this](const decision::stage_job& job,
                                     decision::duration call, bool yields)
        {
            const decision::duration wait = m_backlog.expected_wait(
                "later", start + m_time, call, job.is_late);
            return wait <= profile().time_per_call * (yields ? 1 : 2);
        };
    }

    /// Adds requests of one kind, \a per_second, from \a begin to \a end.
    void add(decision::duration begin, decision::duration end,
             double per_second, const decision::stage_job& kind,
             decision::duration objective, decision::duration deadline)
    {
        const decision::duration interval(
            static_cast<decision::duration::rep>(1e9 / per_second));
        for (decision::duration at = begin; at < end; at += interval)
        {
            request added{at, kind, {}, {}, {}, {}};
            added.job.due = start + at + objective;
            added.job.expires = start + at + deadline;
            requests.push_back(added);
        }
    }

    /// Runs until \a end; requests may be added in between.
    void run(decision::duration end)
    {
        std::stable_sort(requests.begin(), requests.end(),
                         [](const request& left, const request& right)
                         { return left.arrives < right.arrives; });
        for (; m_time < end; m_time += step)
        {
            submit_arrivals();
            end_calls();
            if (m_time % report_interval == decision::duration::zero())
                report_wait();
            if (m_time % tick == decision::duration::zero())
                end_jobs();
            while (auto call = m_planner->next_call(start + m_time, estimates))
            {
                note_started(*call);
                m_calls.push_back({m_time + call->expected_time, *call});
            }
        }
    }

    /// Has another entry plan from now on: what was queued is submitted again,
    /// and calls in progress are lost.
    void restart_planner()
    {
        m_planner.emplace(profile());
        std::map<decision::target_incarnation, std::string> zones;
        for (int target = 0; target < 8; ++target)
            zones["t" + std::to_string(target)] = "a";
        m_planner->set_targets(zones);
        m_calls.clear();
        for (const std::uint64_t number : m_waiting)
            submit(number);
    }

    /// Returns the requests that meet \a condition.
    template<typename Condition>
    std::vector<const request*> select(Condition condition) const
    {
        std::vector<const request*> found;
        for (const request& each : requests)
            if (condition(each))
                found.push_back(&each);
        return found;
    }

    static constexpr decision::instant start{std::chrono::hours(1)};
    std::vector<request> requests; ///< The job numbers are the positions.
    decision::downstream_estimates estimates;

private:
    static constexpr decision::duration step = std::chrono::milliseconds(5);
    static constexpr decision::duration report_interval =
        std::chrono::milliseconds(100);
    static constexpr decision::duration later_call_time =
        std::chrono::milliseconds(350);
    static constexpr decision::duration tick = std::chrono::milliseconds(20);

    void submit(std::uint64_t number)
    {
        decision::stage_job job = requests[number].job;
        job.number = number;
        job.queued_at = start + m_time;
        job.accepts_rejection = true;
        job.content = decision::digest_of(std::to_string(number));
        m_planner->add(job);
    }

    void submit_arrivals()
    {
        for (; m_arrived < requests.size() &&
               requests[m_arrived].arrives <= m_time;
             ++m_arrived)
        {
            m_waiting.push_back(m_arrived);
            submit(m_arrived);
        }
    }

    void end_calls()
    {
        for (const auto& [ends, call] : m_calls)
        {
            if (ends > m_time)
                continue;
            m_planner->note_call_answered(call, call.expected_time,
                                          start + m_time);
            for (const decision::piece_ref& piece : call.pieces)
                m_planner->note_piece_completed(piece, call.target,
                                                std::to_string(piece.job) +
                                                    "." +
                                                    std::to_string(piece.piece),
                                                start + m_time);
        }
        std::erase_if(m_calls, [this](const auto& call)
                      { return call.first <= m_time; });
        for (const auto& finished : m_planner->take_finished())
            end(finished.job).done = end_of_later(finished.job);
    }

    /// Returns when a job whose first stage is done now ends.
    decision::duration end_of_later(const decision::stage_job& job)
    {
        if (job.downstream.empty())
            return m_time;
        m_later_free_at = std::max(m_later_free_at, m_time) +
                          m_later_time_per_piece * job.downstream[0].pieces;
        return m_later_free_at + later_call_time;
    }

    void note_started(const decision::planned_call& call)
    {
        for (const decision::piece_ref& piece : call.pieces)
            for (const auto& later : requests[piece.job].job.downstream)
                m_backlog.note_started(later, m_later_time_per_piece,
                                       start + m_time, call.expected_time,
                                       m_planner->find(piece.job)->is_late);
    }

    void report_wait()
    {
        const decision::duration wait =
            std::max(m_later_free_at - m_time, decision::duration::zero());
        m_backlog.note_wait_times("later", {wait, wait, later_call_time},
                                  start + m_time);
    }

    void end_jobs()
    {
        const decision::instant now = start + m_time;
        for (const auto& [job, retry_in] :
             m_planner->take_rejected(now, estimates))
        {
            request& ended = end(job);
            ended.rejected = m_time;
            ended.retry_in = retry_in;
        }
        for (const auto& expired : m_planner->take_expired(now, estimates))
            end(expired.job).expired = m_time;
    }

    request& end(const decision::stage_job& job)
    {
        std::erase(m_waiting, job.number);
        return requests[job.number];
    }

    std::optional<decision::call_planner> m_planner;
    std::vector<std::pair<decision::duration, decision::planned_call>> m_calls;
    std::vector<std::uint64_t> m_waiting; ///< Submitted and not ended.
    std::size_t m_arrived = 0;
    decision::duration m_time{};
    decision::downstream_backlog m_backlog;
    decision::duration m_later_time_per_piece{};
    decision::duration m_later_free_at{};
};

} // namespace mangofold::test

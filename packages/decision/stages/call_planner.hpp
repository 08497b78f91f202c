#pragma once

#include "catalog/catalog.hpp"
#include "decision/admission/admission_forecast.hpp"
#include "decision/admission/admission_record.hpp"
#include "decision/stages/call_throughput.hpp"
#include "decision/stages/stage_job.hpp"
#include "decision/stages/stage_target.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// A batched call to one target, with at most as many pieces as the service
/// allows.
struct planned_call
{
    target_incarnation target;
    std::vector<piece_ref> pieces;
    duration expected_time{};
    std::uint64_t result_bytes = 0; ///< Estimated size of the results.
    /// Sent while the target still executes another call.
    bool is_ahead = false;
    std::uint64_t number = 0; ///< Unique per planner.

    friend bool operator==(const planned_call&, const planned_call&) = default;
};

/// Estimates for the stages that follow the planner's own stage.
struct downstream_estimates
{
    /// Returns the time that the downstream stages of a job will take if its
    /// own stage takes \a call; for \a is_late see
    /// downstream_backlog::expected_wait().
    std::function<duration(const stage_job&, duration call, bool is_late)>
        remaining_time = [](const stage_job&, duration, bool)
    { return duration::zero(); };
    /// Returns the time that the downstream stages of a job take if nothing
    /// waits there.
    std::function<duration(const stage_job&)> least_time = [](const stage_job&)
    { return duration::zero(); };
    /// Returns what is known of the load of a downstream service.
    std::function<service_outlook(const std::string& service)> outlook =
        [](const std::string&) { return service_outlook(); };
    /// Whether a request of which no stage was started yet may start now.
    /// Requests that yield to more urgent ones leave these shorter queues.
    std::function<bool(const stage_job&, duration call, bool yields)>
        may_start = [](const stage_job&, duration, bool) { return true; };
    /// Whether a request still waits for a job.
    std::function<bool(const stage_job&)> is_wanted = [](const stage_job&)
    { return true; };
};

/// What became of the requests of one rank at a planner.
struct admission_counts
{
    std::uint64_t started = 0;
    std::uint64_t late = 0; ///< Of the started ones.
    std::uint64_t rejected = 0;
    std::uint64_t returned = 0; ///< Arrivals after a rejection.

    friend bool operator==(const admission_counts&,
                           const admission_counts&) = default;
};

/// Batches the pieces of all requests into calls to one stage service.
///
/// Each call has a fixed cost, so throughput depends on full calls. The
/// planner therefore forms a call only when a target is free, from the most
/// urgent pieces at that time. While pieces for a whole further call wait, a
/// target gets that call shortly before its current one ends, so that it is not
/// idle for a network round trip.
class call_planner
{
public:
    explicit call_planner(catalog::call_profile profile) : m_profile(profile) {}

    void set_profile(const catalog::call_profile& profile);
    const catalog::call_profile& profile() const { return m_profile; }

    /// Sets the targets that may get calls, with their zones.
    void set_targets(const std::map<target_incarnation, std::string>& zones);

    /// Sets when \a target may get its next call, and the interval between its
    /// calls from then on.
    void set_call_limit(const target_incarnation& target, instant next_call_at,
                        duration min_interval);

    /// Adds a job. Its number must be unused.
    void add(stage_job job);

    /// Removes a job whose result is no longer wanted.
    void cancel(std::uint64_t number);

    /// Returns the next call to make at \a now, or nothing.
    std::optional<planned_call>
    next_call(instant now, const downstream_estimates& downstream = {});

    /// Whether \a call still waits behind another one, as far as is known.
    bool is_queued(const planned_call& call) const;
    /// Whether the target may have begun to execute \a call. It has not if the
    /// call ahead of it was lost.
    bool may_have_begun(const planned_call& call) const;

    /// Records that \a call was answered after \a took.
    void note_call_answered(const planned_call& call, duration took,
                            instant now);
    /// Records the load that \a target stated in a response at \a now. Must be
    /// called before the call of the response is recorded as ended.
    void note_load(const target_incarnation& target,
                   const target_load_report& report, instant now);
    /// Records that \a call failed without running, or that the target refused
    /// it because its queue \a is_full.
    void note_call_failed(const planned_call& call, bool is_full, instant now);
    /// Records that \a call got no answer but may have run: its results then
    /// occupy the target's memory until they expire.
    void note_call_unanswered(const planned_call& call, instant now);

    /// Records that \a target completed \a piece and stored the result as
    /// \a handle.
    void note_piece_completed(const piece_ref& piece,
                              const target_incarnation& target,
                              const std::string& handle, instant now);
    /// Puts \a piece back among the waiting ones.
    void requeue_piece(const piece_ref& piece);
    /// Records that the target of \a call may have crashed because of it.
    void note_suspected_crash(const planned_call& call);
    /// Records that \a target had no memory left for a result. Must be called
    /// after the results of the same call were recorded.
    void note_memory_full(const target_incarnation& target, instant now);

    /// Records that the result \a handle, produced by \a target, was released.
    void note_released(const target_incarnation& target,
                       const std::string& handle);

    /// Whether \a target still stores the result \a handle.
    bool is_stored(const target_incarnation& target, const std::string& handle,
                   instant now) const;

    /// A job removed from the planner, with the handles of the results produced
    /// so far in the order of the pieces.
    struct removed_job
    {
        stage_job job;
        std::vector<std::string> handles;
    };
    /// Removes and returns the jobs of which all results are available.
    std::vector<removed_job> take_finished();

    /// Removes and returns the jobs that can no longer be done in time.
    std::vector<removed_job>
    take_expired(instant now, const downstream_estimates& downstream = {});

    struct rejected_job
    {
        stage_job job;
        duration retry_in{}; ///< When there will be capacity.
    };
    /// Removes and returns the jobs that were not started and, as the forecast
    /// shows, can't be done before they expire.
    std::vector<rejected_job>
    take_rejected(instant now, const downstream_estimates& downstream = {});

    /// Returns what became of the jobs of each rank since the last call of this
    /// function.
    std::map<urgency, admission_counts> take_admission_counts();

    /// Removes and returns the job \a number, or returns nothing.
    std::optional<removed_job> take(std::uint64_t number);

    /// Returns the job \a number, or null.
    const stage_job* find(std::uint64_t number) const;

    /// Whether the job \a number has pieces that are in no call yet.
    bool has_waiting_pieces(std::uint64_t number) const;

    /// Whether the job \a number has pieces in a call now.
    bool is_in_progress(std::uint64_t number) const;

    /// Returns the expected time until a new job would start. A job that can
    /// be on time goes ahead of those that will be late.
    duration expected_wait(instant now, bool is_late = true) const;

    /// Returns the moving average of the duration of calls.
    duration average_call_time() const;

    /// Returns the time per piece at the throughput of the whole service, with
    /// calls as full and pauses as long as measured; a call's fixed time if no
    /// target can take calls.
    duration time_per_piece(instant now) const;

    /// Returns the bytes of the results stored at all targets.
    std::uint64_t stored_bytes() const;

    std::size_t waiting_pieces() const { return m_waiting_pieces; }
    /// Returns the number of waiting pieces of jobs that can be on time.
    std::size_t waiting_pieces_on_time() const;
    /// Returns the number of jobs, started ones included.
    std::size_t job_count() const { return m_jobs.size(); }

private:
    struct job_state
    {
        stage_job job;
        std::vector<std::uint32_t> waiting; ///< Pieces that are in no call.
        std::map<std::uint32_t, std::string> results; ///< By piece.
        std::uint32_t crashes = 0; ///< See note_suspected_crash().
        /// See fillable_job::was_passed_over.
        bool was_passed_over = false;
        bool has_been_forecast = false;
        bool has_been_started = false; ///< Pieces were put into a call.
        // See admission_candidate.
        bool goes_first = false;
        bool is_hopeless = false;
        double account_turn = 0;
        duration backlog{};

        /// Whether no stage of the request was started.
        bool is_unstarted() const;
        bool is_in_progress() const
        {
            return waiting.size() + results.size() < job.pieces;
        }
    };

    /// The place of a job among those that wait; the members are compared in
    /// this order.
    struct job_order
    {
        bool is_behind_first = true; ///< See admission_candidate::goes_first.
        bool is_late = false;
        bool is_unstarted = false;
        decision::urgency urgency;
        bool is_first_time = false; ///< Late, and not returning.
        double account_turn = 0;
        instant due{};

        friend auto operator<=>(const job_order&, const job_order&) = default;
    };

    duration expected_time(const stage_target& target,
                           std::size_t pieces) const;
    std::vector<stage_target*> free_targets(instant now);
    instant earliest_call(instant now) const;
    bool is_probe_due(const stage_target& target, instant now) const;
    bool has_faster_alternative(const stage_target& target, instant now) const;
    bool waits_for_zone(const stage_job& job, const stage_target& target,
                        instant now) const;
    job_order order_of(const job_state& state,
                       const stage_target& target) const;
    bool has_usable_target(instant now) const;
    /// Returns the time per piece; if it rises, it takes a second to double.
    duration steady_time_per_piece(instant now);
    service_outlook own_outlook(instant now);
    void note_arrival(job_state& state, admission_forecast& forecast,
                      instant now);
    void note_started_arrival(job_state& state, admission_forecast& forecast,
                              instant now);
    std::vector<admission_candidate>
    unstarted_jobs(admission_forecast& forecast,
                   std::vector<job_state*>& states, instant now);
    void choose_first_jobs(std::vector<admission_candidate>& candidates,
                           instant now);
    static double share_needed(const std::vector<admission_candidate*>& streams,
                               admission_forecast& forecast, instant now);
    void choose_continued_streams(std::vector<admission_candidate>& candidates,
                                  admission_forecast& forecast, instant now);
    void update_forecast(instant now, const downstream_estimates& downstream);
    void note_starts(const planned_call& call, instant now);
    duration return_delay_of(const job_state& state, instant now);
    std::vector<job_state*>
    jobs_by_urgency(const stage_target& target, instant now,
                    const downstream_estimates& downstream);
    bool may_join(const job_state& state, const planned_call& call) const;
    /// Adds pieces to \a call. Returns whether the call is as full as it can
    /// be: it has no space left, or jobs that may run did not fit.
    bool fill(planned_call& call, stage_target& target, instant now,
              const downstream_estimates& downstream);
    /// Whether a piece of \a job may be executed now.
    bool yields_to_urgent(const stage_job& job) const;
    bool may_run(const job_state& state,
                 const downstream_estimates& downstream) const;
    /// Moves the jobs that together fill a call with \a space best to the front
    /// of \a order.
    static std::uint32_t filling_group(const job_state& state,
                                       const stage_target& target);
    void prefer_full_call(std::vector<job_state*>& order,
                          const stage_target& target, std::size_t space,
                          const downstream_estimates& downstream) const;
    void add_pieces(planned_call& call, stage_target& target, job_state& state,
                    std::size_t count);
    void note_pause(const stage_target& target, instant now);
    bool may_take_call_ahead(const stage_target& target, instant now) const;
    void undo(const planned_call& call, stage_target& target);
    void note_planned(planned_call& call, stage_target& target, bool is_filled,
                      instant now);
    /// Returns whether \a call failed as a call ahead of the target's current
    /// one; otherwise it has no effect.
    bool note_call_ahead_failed(const planned_call& call, stage_target& target,
                                bool is_full, instant now);
    void requeue_results_of(const stage_target& producer);
    removed_job remove(std::map<std::uint64_t, job_state>::iterator entry);

    catalog::call_profile m_profile;
    std::map<target_incarnation, stage_target> m_targets;
    std::map<std::uint64_t, job_state> m_jobs;
    std::vector<std::uint64_t> m_finished;
    std::size_t m_waiting_pieces = 0;
    std::uint64_t m_planned_calls = 0;
    std::uint64_t m_unanswered_calls = 0;
    /// Of recent work in time, by service; as of the last forecast.
    std::map<std::string, urgency> m_most_urgent;
    admission_record m_admission;
    std::map<urgency, admission_counts> m_admission_counts;
    std::optional<instant> m_last_arrival_at;
    instant m_planning_since{};
    instant m_forecast_at{};
    double m_steady_ns_per_piece = 0; ///< 0 before the first forecast.
    instant m_steady_rate_at{};
    bool m_is_forecast_outdated = true;
    bool m_is_overloaded = false; ///< Some waiting job will be late.
    double m_average_call_ns = 0; ///< Moving average; 0 before the first call.
    call_throughput m_throughput;
    /// When a target was last free although no piece could run.
    instant m_idle_at{};
};

} // namespace mangofold::decision

#pragma once

#include "decision/stages/call_planner.hpp"
#include "decision/stages/downstream_backlog.hpp"
#include "serving/entry_context.hpp"
#include "serving/job_executor.hpp"
#include "serving/target_call.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// Batches the pieces that stage jobs of many requests have for one service
/// into as few calls to its targets as possible, since each call has a fixed
/// time that all of its pieces share.
class piece_batcher
{
public:
    /// Receives the outcome of a job. Returns whether the results are still
    /// wanted.
    using outcome_callback = std::function<bool(job_outcome)>;
    /// Returns whether a request still waits for the job.
    using wanted_check = std::function<bool()>;
    /// Called once the targets no longer need the inputs of the job.
    using fetched_callback = std::function<void()>;

    /// The load of a service counts as known while jobs for it arrived within
    /// this time.
    static constexpr duration recent_job_time = std::chrono::seconds(1);

    explicit piece_batcher(entry_context& context);

    /// Executes \a job. Exactly one outcome is passed to \a done.
    void add(const std::string& service, decision::stage_job job,
             outcome_callback done, wanted_check is_wanted,
             fetched_callback fetched);

    /// Releases results of \a service, which their targets then delete.
    void release(const std::string& service,
                 const std::vector<std::string>& handles);

    /// Returns the number of jobs that have not ended.
    std::size_t job_count() const;

    /// Returns the expected wait times of each service batched at this entry.
    std::map<std::string, decision::service_wait_times> wait_times() const;

    /// Notes the wait times of a service batched at another entry.
    void note_wait_times(const std::string& service,
                         const decision::service_wait_times& times);

    /// Returns the reported time per piece of \a service, or \a declared if
    /// none was reported.
    duration time_per_piece(const std::string& service, duration declared) const
    {
        return m_backlog.time_per_piece(service, declared);
    }

    /// Runs the periodic work. Never returns.
    awaitable<void> run();

private:
    /// Largest answer to a call or a release: a handle of some dozen bytes for
    /// each piece.
    static constexpr std::uint64_t max_call_answer_bytes = 4ULL << 20U;

    /// The callbacks of a job, and the progress of the job.
    struct accepted_job
    {
        outcome_callback done;
        wanted_check is_wanted;
        fetched_callback fetched;
        bool has_fetched_inputs = false;
        /// Lost calls that held pieces of the job.
        std::uint32_t lost_calls = 0;
        /// Why a target can't execute the job.
        std::optional<decision::job_status> failure;
        /// Calls that may not have fetched the inputs of the job yet.
        std::uint32_t pending_fetches = 0;
    };

    /// The jobs of one service and the targets that execute them.
    struct service_queue
    {
        explicit service_queue(const catalog::call_profile& profile)
            : planner(profile)
        {
        }
        decision::call_planner planner;
        std::map<std::uint64_t, accepted_job> jobs;
        std::map<std::string, std::vector<std::string>> pending_releases;
        std::uint64_t directory_changes = 0;
        /// Whether the planner knows targets that may get no calls now.
        bool has_call_limits = false;
        instant last_job_at{};
        std::uint64_t calls = 0;  ///< Since the last summary.
        std::uint64_t pieces = 0; ///< In the calls counted above.
        std::uint64_t memory_refusals = 0;
        std::uint64_t expired_jobs = 0;
    };

    /// The forecast for requests whose later stages use the same services. It
    /// is needed for every waiting request, and many requests share one.
    struct downstream_forecast
    {
        std::vector<std::string> services;
        duration call_time{};
        /// Whether these requests will miss their deadlines.
        bool is_late = false;
        duration remaining_time{};
        bool may_start = true;
        bool may_start_yielding = true;
    };

    const downstream_forecast& forecast_for(const decision::stage_job& job,
                                            duration call_time, bool is_late);
    downstream_forecast compute_forecast(const decision::stage_job& job,
                                         duration call_time,
                                         bool is_late) const;
    const catalog::call_profile*
    call_profile_of(const std::string& service) const;
    decision::service_outlook outlook_of(const std::string& service) const;
    duration time_per_piece_of(const std::string& service,
                               const catalog::call_profile& profile) const;
    void note_started_jobs(const service_queue& queue,
                           const decision::planned_call& plan);
    service_queue* queue_of(const std::string& service);
    void update_targets(const std::string& service, service_queue& queue);
    void update_call_limits(const std::string& service, service_queue& queue);
    void start_calls(const std::string& service, service_queue& queue);
    awaitable<void> run_call(std::string service, decision::planned_call plan);
    awaitable<void> report_fetched_inputs(std::string service,
                                          decision::planned_call plan,
                                          duration after);
    duration fetch_time(const service_queue& queue,
                        const decision::planned_call& plan) const;
    /// Returns the results in the answer to \a plan; nothing if it can't be
    /// used.
    std::optional<std::vector<piece_result>>
    read_results(const decision::planned_call& plan, target_call& call) const;
    void handle_results(service_queue& queue,
                        const decision::planned_call& plan,
                        const std::vector<piece_result>& results);
    static void mark_failed(service_queue& queue,
                            const decision::piece_ref& piece,
                            decision::job_status status);
    void queue_release(service_queue& queue, const std::string& handle);
    static std::set<std::uint64_t>
    job_numbers(const decision::planned_call& plan);
    void handle_failed_call(const std::string& service,
                            const decision::planned_call& plan,
                            target_call::outcome state, bool is_full,
                            instant started_at);
    void count_call(const service_queue& queue,
                    const decision::planned_call& plan);
    static void handle_lost_call(service_queue& queue,
                                 const decision::planned_call& plan);
    void note_target_crashes(const service_queue& queue,
                             const decision::planned_call& plan,
                             instant started_at);
    static void requeue(service_queue& queue,
                        const decision::planned_call& plan);
    void end_job(const std::string& service, service_queue& queue,
                 std::uint64_t number, job_outcome outcome);
    void end_finished_jobs(const std::string& service, service_queue& queue);
    void end_rejected_jobs(const std::string& service, service_queue& queue);
    void end_unwanted_jobs(const std::string& service, service_queue& queue);
    std::vector<piece_task>
    piece_tasks(const service_queue& queue,
                const decision::planned_call& plan) const;
    awaitable<void> send_releases(std::string service);
    /// Returns when this entry may send \a target the next call or release.
    instant next_call_at(const decision::target_incarnation& target,
                         instant now);
    /// Whether no target of \a service takes calls now. A stream in progress
    /// waits for targets that rest, but not for those of evacuated zones.
    bool is_unavailable(const std::string& service,
                        bool continues_stream) const;
    /// Whether the job \a number of \a queue is of a stream in progress.
    static bool continues_stream(const service_queue& queue,
                                 std::uint64_t number);
    void hold_back_releases(service_queue& queue, const std::string& address,
                            const decision::target_incarnation& producer,
                            std::vector<std::string> handles);
    void note_misdirected_release(const decision::target_incarnation& producer,
                                  const std::string& address);
    std::string count_admission(const std::string& service,
                                service_queue& queue);
    void summarize(const std::string& service, service_queue& queue);

    entry_context& m_context;
    decision::downstream_backlog m_backlog;
    decision::downstream_estimates m_estimates;
    std::vector<downstream_forecast> m_forecasts;
    instant m_forecasts_at{};
    std::map<std::string, std::unique_ptr<service_queue>> m_queues;
    std::uint64_t m_next_number = 1;
    instant m_summarized_at{};
};

} // namespace mangofold::serving

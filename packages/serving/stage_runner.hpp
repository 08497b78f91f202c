#pragma once

#include "serving/entry_context.hpp"
#include "serving/job_executor.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// What decides when the stages of a request start.
struct stage_terms
{
    decision::urgency urgency;
    std::string account; ///< Name of the client account.
    instant due;         ///< When the stages should be done.
    instant expires;     ///< When they must be done to be of any use.
    bool is_returning = false;
    bool continues_stream = false;
    bool accepts_rejection = false;

    friend bool operator==(const stage_terms&, const stage_terms&) = default;
};

/// Executes the stages of one request, each stage as soon as the stages that it
/// depends on are done. The owner calls release() when it no longer needs the
/// results: the destructor can't, since at the end of the process the objects
/// that send releases may be gone already.
class stage_runner
{
public:
    stage_runner(entry_context& context, const catalog::route& route,
                 const request_metadata& metadata,
                 const decision::digest& content, std::string zone,
                 stage_terms terms);
    stage_runner(const stage_runner&) = delete;
    stage_runner& operator=(const stage_runner&) = delete;

    /// Executes all stages. Returns how execution ended; results() then returns
    /// the handles of the results.
    awaitable<decision::job_status> run();

    /// Makes run() return at once; called from outside of run().
    void abort();

    /// Returns the times at which the stages were done, in milliseconds after
    /// \a started_at, separated by spaces.
    std::string completion_times(instant started_at) const;

    /// Whether a stage was started although the request would miss its
    /// deadline.
    bool is_late() const { return m_is_late; }

    /// Returns when there will be capacity for a request that was rejected.
    duration retry_in() const { return m_retry_in; }

    /// Returns the handles of the results that the request itself reads: those
    /// of stages without dependents.
    std::vector<std::string> results() const;

    /// Returns the size of those results, by the zone of the targets that hold
    /// them.
    std::map<std::string, std::uint64_t> result_bytes_by_zone() const;

    /// Returns the time in which an engine fetches those results, or nothing
    /// if there are none.
    std::optional<duration> result_fetch_time() const;

    /// Releases all results that are still held.
    void release();
    bool is_released() const { return m_is_released; }

private:
    enum class stage_status : std::uint8_t
    {
        waiting,
        running,
        done
    };

    struct stage_state
    {
        stage_status status = stage_status::waiting;
        std::uint32_t pieces = 0;
        pending_job_ptr pending;
        std::vector<std::string> handles;
        /// Whether all dependents are done with the results.
        bool is_used = false;
        instant done_at{};
    };

    bool can_start(std::size_t index) const;
    bool can_start_any() const;
    bool has_other_start() const;
    bool has_started() const;
    bool has_dependents(std::size_t index) const;
    void start_stage(std::size_t index);
    std::vector<std::string> input_handles(std::size_t index) const;
    std::string preferred_zone(const catalog::stage& stage) const;
    /// Collects the outcomes of jobs that have ended. Returns the status of the
    /// first job that did not complete.
    std::optional<decision::job_status> collect_outcomes();
    bool has_fetched_inputs(std::size_t index) const;
    void release_consumed();
    bool is_done() const;
    /// Returns the stages on the longest path from a stage to the end, with
    /// that stage first.
    std::vector<std::size_t> longest_path_from(std::size_t index) const;
    std::size_t longest_remaining_path() const;

    entry_context& m_context;
    const catalog::route& m_route;
    const request_metadata& m_metadata;
    decision::digest m_content;
    /// The zone in which the request itself will probably run.
    std::string m_zone;
    stage_terms m_terms;
    std::shared_ptr<auto_reset_event> m_changed;
    std::vector<stage_state> m_states;
    bool m_is_aborted = false;
    bool m_is_released = false;
    /// Whether a job was already late when it was started.
    bool m_is_late = false;
    duration m_retry_in{}; ///< Of a rejected job.
};

} // namespace mangofold::serving

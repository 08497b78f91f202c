#pragma once

#include "decision/call_planner.hpp"
#include "decision/downstream_backlog.hpp"
#include "serving/entry_context.hpp"
#include "serving/piece_maker.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// Makes the pieces of all requests of stage services in full calls.
class gatherer
{
public:
    /// Takes the outcome of a job. Returns whether somebody still wants it.
    using outcome_sink = std::function<bool(piece_outcome)>;
    /// Whether anybody still waits for a job.
    using interest = std::function<bool()>;
    /// Told once the inputs of a job are no longer needed.
    using fetch_notice = std::function<void()>;

    explicit gatherer(entry_context& context);

    /// Has \a job made. Exactly one outcome goes to \a done.
    void add(const std::string& service, decision::stage_job job,
             outcome_sink done, interest wanted, fetch_notice fetched);

    void release(const std::string& service,
                 const std::vector<std::string>& handles);

    /// Returns the jobs that are not made yet.
    std::size_t jobs() const;

    /// Returns what waits at each service gathered here.
    std::map<std::string, decision::service_wait_times> waits() const;

    /// Notes what waits at a service gathered elsewhere.
    void note_wait(const std::string& service,
                   const decision::service_wait_times& said);

    /// Drives what depends on time only. Never returns.
    awaitable<void> run();

private:
    struct asked_job
    {
        outcome_sink done;
        interest wanted;
        fetch_notice fetched;
        bool is_fetched = false;
        std::uint32_t losses = 0; ///< Calls lost with pieces of it.
        std::optional<decision::job_status> given_up; ///< A target said so.
    };

    struct line
    {
        explicit line(const catalog::call_shape& shape) : planner(shape) {}
        decision::call_planner planner;
        std::map<std::uint64_t, asked_job> asked;
        std::map<std::string, std::vector<std::string>> to_release;
        std::uint64_t seen_changes = 0;
        instant used_at{};
        std::uint64_t calls = 0;  ///< Since the last summary.
        std::uint64_t pieces = 0; ///< Of those calls.
        std::uint64_t no_room = 0;
        std::uint64_t late = 0;
    };

    /// What is foreseen for requests whose later stages are at the same
    /// services: many requests share it, and it is asked for each of them.
    struct foresight
    {
        std::vector<std::string> services;
        duration call{};
        bool is_late = false; ///< They will be late.
        duration time_after{};
        bool may_begin = true;
    };

    const foresight& foresee(const decision::stage_job& job, duration call,
                             bool is_late);
    foresight look_ahead(const decision::stage_job& job, duration call,
                         bool is_late) const;
    const catalog::call_shape* shape_of(const std::string& service) const;
    void note_begun(const line& one, const decision::planned_call& plan);
    line* line_of(const std::string& service);
    void update_targets(const std::string& service, line& one);
    void pump(const std::string& service, line& one);
    awaitable<void> call(std::string service, decision::planned_call plan);
    awaitable<void> note_fetched(std::string service,
                                 decision::planned_call plan, duration after);
    duration fetch_time(const line& one,
                        const decision::planned_call& plan) const;
    void take_results(line& one, const decision::planned_call& plan,
                      const std::vector<piece_result>& results);
    static void give_up(line& one, const decision::piece_ref& piece,
                        decision::job_status end);
    void let_go(line& one, const std::string& handle);
    static void lose(line& one, const decision::planned_call& plan);
    void note_target_ends(const line& one, const decision::planned_call& plan,
                          instant began);
    static void put_back(line& one, const decision::planned_call& plan);
    void end_job(const std::string& service, line& one, std::uint64_t number,
                 decision::job_status end, std::vector<std::string> handles,
                 bool was_late = false);
    void end_finished(const std::string& service, line& one);
    void end_unwanted(const std::string& service, line& one);
    std::vector<piece_task> orders(const line& one,
                                   const decision::planned_call& plan) const;
    awaitable<void> send_releases(std::string service);
    void summarize(const std::string& service, line& one);

    entry_context& m_context;
    decision::downstream_backlog m_later;
    decision::downstream_estimates m_outlook;
    std::vector<foresight> m_foreseen;
    instant m_foreseen_at{};
    std::map<std::string, std::unique_ptr<line>> m_lines;
    std::uint64_t m_next_number = 1;
    instant m_summarized_at{};
};

} // namespace mangofold::serving

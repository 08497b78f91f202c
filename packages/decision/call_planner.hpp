#pragma once

#include "catalog/catalog.hpp"
#include "decision/piece_job.hpp"
#include "decision/stage_target.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// One call to make: at most as many pieces as the service allows.
struct planned_call
{
    target_incarnation target;
    std::vector<piece_ref> pieces;
    duration expected{};
    std::uint64_t bytes = 0; ///< Of its results.

    friend bool operator==(const planned_call&, const planned_call&) = default;
};

/// What is known of the stages after this one.
struct outlook
{
    /// Returns the time that the stages after a job's own will take, where
    /// its own takes \a call; \a is_late as at later_work::wait_at().
    std::function<duration(const piece_job&, duration call, bool is_late)>
        time_after = [](const piece_job&, duration, bool)
    { return duration::zero(); };
    /// Whether a request that no stage was made of yet may begin now.
    std::function<bool(const piece_job&, duration call)> may_begin =
        [](const piece_job&, duration) { return true; };
};

/// Forms the calls of one stage service from the pieces of all requests.
///
/// A call costs its fixed time whatever it holds, so capacity is a matter of
/// full calls: none is sent to wait behind another, and each is formed when
/// its target is free, from whatever is most urgent then.
class call_planner
{
public:
    explicit call_planner(catalog::call_shape shape) : m_shape(shape) {}

    void set_shape(const catalog::call_shape& shape) { m_shape = shape; }
    const catalog::call_shape& shape() const { return m_shape; }

    /// Sets which targets may get calls, with their zones.
    void set_targets(const std::map<target_incarnation, std::string>& zones);

    /// Adds a job. Its number must be new.
    void add(piece_job job);

    /// Takes a job out that nobody waits for any more.
    void cancel(std::uint64_t number);

    /// Returns the next call to make now, if there is one.
    std::optional<planned_call> next_call(instant now,
                                          const outlook& later = {});

    /// Notes how a call ended: answered after \a took, ...
    void call_done(const planned_call& call, duration took, instant now);
    /// ... refused since its queue is full, or without an answer, ...
    void call_failed(const planned_call& call, bool is_full, instant now);
    /// ... and of one without an answer, that it may have been made: its
    /// results then lie there until their time is over.
    void call_lost(const planned_call& call, instant now);

    /// ... and each of its pieces: made, ...
    void piece_made(const piece_ref& piece, const target_incarnation& target,
                    const std::string& handle, instant now);
    /// ... or to be made again.
    void piece_lost(const piece_ref& piece);
    /// Notes that the target of \a call ended while it was made.
    void note_target_ended(const planned_call& call);
    /// Notes that \a target had no room for a result.
    void no_room(const target_incarnation& target, instant now);

    /// Notes that a result no longer takes room at \a target, its maker.
    void released(const target_incarnation& target, const std::string& handle);

    /// Takes the jobs whose results are all there, with the results in the
    /// order of the pieces.
    struct finished_job
    {
        piece_job job;
        std::vector<std::string> handles;
    };
    std::vector<finished_job> take_finished();

    /// Takes the jobs whose time is over, with what was made of them.
    std::vector<finished_job> take_expired(instant now,
                                           const outlook& later = {});

    /// Takes a job out with what was made of it.
    std::optional<finished_job> take(std::uint64_t number);

    /// Returns the job numbered \a number, or nothing.
    const piece_job* find(std::uint64_t number) const;

    /// Whether pieces of the job \a number are in no call yet.
    bool has_waiting(std::uint64_t number) const;

    /// Whether pieces of the job \a number are in a call now.
    bool is_under_way(std::uint64_t number) const;

    /// Returns the expected time until a new job would be begun; one that
    /// can be in time goes before those that will be late.
    duration expected_wait(instant now, bool is_late = true) const;

    /// Returns the time that a call takes, by those that were made.
    duration usual_call() const;

    /// Returns the time of the whole service that one piece takes, all calls
    /// being full; the longest where no target can take any.
    duration time_of_piece(instant now) const;

    /// Returns the bytes of results that are kept at all targets.
    std::uint64_t kept_bytes() const;

    std::size_t waiting_pieces() const { return m_waiting_pieces; }
    std::size_t waiting_in_time() const;
    std::size_t waiting_jobs() const { return m_jobs.size(); }

private:
    struct job_state
    {
        piece_job job;
        std::vector<std::uint32_t> waiting; ///< Pieces not under way.
        std::map<std::uint32_t, std::string> made;
        std::uint32_t targets_ended = 0; ///< While they made pieces of it.

        bool is_under_way() const
        {
            return waiting.size() + made.size() < job.pieces;
        }
    };

    duration expected_time(const stage_target& target,
                           std::size_t pieces) const;
    std::vector<stage_target*> free_targets(instant now);
    bool is_trial(const stage_target& target, instant now) const;
    bool is_worth_waiting(const stage_target& target, instant now) const;
    bool waits_for_zone(const piece_job& job, const stage_target& target,
                        instant now) const;
    std::vector<job_state*> in_order(const stage_target& target, instant now,
                                     const outlook& later);
    bool may_share(const job_state& one, const planned_call& call) const;
    void fill(planned_call& call, stage_target& target, instant now,
              const outlook& later);
    void lose_results(const stage_target& maker);
    finished_job taken(std::map<std::uint64_t, job_state>::iterator one);

    catalog::call_shape m_shape;
    std::map<target_incarnation, stage_target> m_targets;
    std::map<std::uint64_t, job_state> m_jobs;
    std::vector<std::uint64_t> m_finished;
    std::size_t m_waiting_pieces = 0;
    std::uint64_t m_lost_calls = 0;
    double m_usual_call_ns = 0; ///< Moving average; 0 before the first.
};

} // namespace mangofold::decision

#pragma once

#include "catalog/catalog_index.hpp"
#include "decision/digest.hpp"
#include "decision/sending_record.hpp"
#include "decision/streams/stream_origin.hpp"
#include "decision/streams/stream_progress.hpp"
#include "runtime/event.hpp"
#include "serving/answers/answer_witness.hpp"
#include "serving/caller_session.hpp"
#include "serving/entry_context.hpp"
#include "serving/placement_messages.hpp"
#include "serving/stage_runner.hpp"
#include "serving/target_call.hpp"
#include "serving/target_losses.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace mangofold::serving
{

/// Part of the caller's time budget that is reserved for the answer's network
/// transit.
constexpr duration answer_transit_time = std::chrono::milliseconds(20);

/// Why this process answers a request itself instead of relaying the answer of
/// a target.
enum class refusal : std::uint8_t
{
    none,
    malformed,
    no_catalog,
    no_route,
    unknown_key,
    no_target,
    targets_full,
    too_late,
    stages_late,
    stages_failed,
    retries_spent,
    target_lost,
    target_silent,
    answer_spoiled,
    stopping,
    quarantined,
    evacuated,
    targets_cold,
    targets_limited,
    targets_resting,
    overloaded,
    stream_unknown,
    version_gone,
    part_quarantined,
    memory_full
};

/// Returns the name of \a value that answers, metrics and logs show.
std::string_view to_string(refusal value);

/// Handles one request of a caller: admits it, runs the stages of its route,
/// sends it to a target, retries it on other targets where the route allows
/// that, and relays the answer or sends a refusal.
class exchange
{
public:
    exchange(entry_context& context, std::shared_ptr<caller_session> session,
             http_request request, request_body_ptr body);

    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /// Handles the request until its answer is sent or the caller has
    /// disconnected.
    awaitable<void> run();

    /// Judges the request by its head alone.
    body_terms judge_head();

    /// Refuses the request, whose body is not read: for what its head says, or
    /// else because no memory is left for its body.
    awaitable<void> refuse_unread();

    /// Gives back what the request holds after run() or refuse_unread() has
    /// thrown an exception that says \a fault.
    void note_failure(std::string_view fault);

private:
    enum class attempt_outcome : std::uint8_t
    {
        answered,    ///< The answer was relayed, complete or cut off.
        retry,       ///< Another target may serve the request.
        redo_stages, ///< The stage results are lost or released.
        given_up     ///< m_refusal holds the reason.
    };

    bool has_catalog() const;
    awaitable<void> wait_for_catalog();
    awaitable<void> wait_for_known_target();
    awaitable<void> wait_during_startup(std::function<bool()> is_available);
    awaitable<void> wait_poll_interval();
    bool admit();
    /// Admits the request as far as its head says.
    bool admit_head();
    void apply_budget();
    bool is_declined_while_draining();
    void log_admission_while_draining(
        const decision::drain::request_duration& expected,
        decision::other_entries others, bool is_accepted);
    /// Logs that the end of this process cuts off the answer.
    void log_cut_answer();
    awaitable<void> finish();
    void note_exit();
    /// Logs that the caller has disconnected.
    void log_left();
    /// Returns the log line \a event, the last one of the request.
    runtime::event last_line(std::string_view event);
    decision::drain::request_duration expected_request_time() const;
    duration longest_answer_time() const;
    void prepare_for_shutdown();
    std::uint32_t max_output_tokens() const;
    instant latest_send_time() const;
    const std::string& choose_service();
    awaitable<void> serve();
    /// Whether the request can be served at all now; if not, records why.
    awaitable<bool> is_servable();
    /// Makes the stages and sends the request to one target.
    awaitable<attempt_outcome> run_round(bool has_stages);
    /// Whether the caller has a part of the stream that it requests.
    bool is_stream_in_progress() const;
    /// Decides whether a stream in progress gets another round after a failed
    /// one, and waits until that starts.
    awaitable<bool> wait_for_next_round();
    /// Returns the shortest time in which the stages can run.
    duration least_stages_time() const;
    /// Returns the time from a send to the first event that is reserved for it:
    /// a mean, which includes the waits of recent requests, counts for a stream
    /// in progress only as far as it is short.
    duration first_event_time() const;
    bool has_untried_target() const;
    bool is_another_round_useless() const;
    decision::urgency urgency() const;
    stage_terms stage_terms_for(const entry_context::route_times& times) const;
    instant stages_deadline() const;
    std::string expected_engine_zone();
    awaitable<bool> run_stages();
    awaitable<decision::job_status> run_stages_once(bool accepts_rejection);
    void release_stages();
    /// Releases the stage results once \a engine must have fetched them, if it
    /// does so at once.
    void schedule_early_release(const decision::target_incarnation& engine);
    /// Returns what follows after \a outcome of an attempt at \a engine whose
    /// inputs were perhaps released.
    attempt_outcome
    outcome_without_inputs(attempt_outcome outcome,
                           const decision::target_incarnation& engine);
    /// Sends the request to one target and relays its answer.
    awaitable<attempt_outcome> attempt();
    awaitable<attempt_outcome> relay_answer(target_call& call);
    awaitable<attempt_outcome> relay_buffered_answer(target_call& call);
    /// Opens the witness of the answer to \a call.
    void open_witness(const target_call& call);
    /// Opens the witness of an answer that ends with its connection unless it
    /// is open, and closes that of another one.
    void note_framing(const target_call& call);
    /// Reads more of the answer, and lets the witness know.
    awaitable<target_call::outcome> read_more(target_call& call);
    /// Returns whether an answer that was read to its end is whole: ok, or how
    /// the attempt has failed.
    awaitable<target_call::outcome> check_end(const target_call& call);
    /// Returns what follows after a stream that an attempt has broken off.
    attempt_outcome
    handle_broken_stream(target_call::outcome result,
                         const decision::target_incarnation& target);
    awaitable<attempt_outcome> relay_event_stream(target_call& call);
    awaitable<bool> send_events(target_call& call, std::string events);
    attempt_outcome
    handle_failed_attempt(target_call::outcome result,
                          const decision::target_incarnation& target);
    /// Returns whether the quarantine refuses the request, after waiting for
    /// its verdict.
    awaitable<bool> is_quarantined();
    /// Returns whether the quarantine refuses the request for its content, or
    /// already knows that it will refuse it for a part of its prompt. Does not
    /// wait for trials of a part, so that they delay no stages.
    awaitable<bool> is_quarantined_before_stages();
    /// Whether the quarantine still admits the request as it did before the
    /// wait for a target.
    bool is_still_admitted();
    bool is_refused_or_held();
    void update_quarantine_verdict();
    decision::quarantine::verdict quarantine_verdict();
    decision::name_set serving_versions() const;
    /// Records that \a target crashed while the request was in progress there.
    void record_crash(const decision::target_incarnation& target);
    target_run newest_run(const decision::target_incarnation& target) const;
    /// Gives up an answer that has no event, and records it if the target
    /// crashes soon after.
    awaitable<void> give_up_answer(target_call& call);
    /// Records that the newest attempt was answered and its target survived.
    void record_survival();
    /// Whether the target has survived the newest attempt although its answer
    /// is not complete yet.
    bool has_survived() const;
    const decision::request_suspects& suspects() const;
    /// Returns the id of the part of the prompt that the verdict is about.
    std::string suspected_part() const;
    awaitable<const decision::listed_target*> wait_for_target_choice();
    attempt_outcome handle_not_run(const target_call& call);
    const decision::listed_target* choose_target();
    const decision::listed_target* choose_target_except(
        const std::set<decision::target_incarnation>& excluded);
    std::vector<const decision::listed_target*> available_targets();
    /// When a target may get the next request of this entry, and what prevents
    /// an earlier one.
    struct send_time
    {
        instant at;
        refusal reason = refusal::none;
    };
    send_time next_send(const decision::listed_target& target, instant now);
    instant next_send_while_cold(const decision::listed_target& target,
                                 instant now);
    /// Whether no target of the service may get a request before the deadline.
    bool are_targets_unavailable();
    /// Records why no target was chosen, unless a failed attempt has left a
    /// reason that says more.
    void note_no_target();
    /// Whether all targets of the service are evacuated, or, if
    /// \a needs_stages, all targets of a service that a stage needs.
    bool is_service_evacuated(bool needs_stages) const;
    bool may_wait_for_cold_target() const;
    forwarding_metadata forwarding_metadata_for();
    /// Returns how long the next attempt may wait for the answer's head.
    duration attempt_timeout() const;
    void record_attempt_start(const decision::target_incarnation& target);
    /// Returns what the newest attempt took from the retry budget: it reached
    /// no target.
    void take_back_retry();
    void record_attempt_end(const decision::target_incarnation& target);
    /// Returns the engine for the request: \a own_choice or the one that the
    /// scheduler chooses; null if the request is not to be sent any more.
    awaitable<const decision::listed_target*>
    place_generation(const decision::listed_target* own_choice);
    void cancel_placement();
    placement_request make_placement_request();
    const decision::listed_target*
    find_usable(const decision::target_incarnation& target);
    /// Records that the request is sent to the engine \a target now.
    void start_generation(const decision::target_incarnation& target);
    void report_generation(decision::generation_event event);
    /// Whether the caller takes up a stream that an earlier request of it
    /// began.
    bool is_taking_up_stream() const;
    /// Finds out where the stream began that the caller takes up. Returns
    /// whether it can go on.
    awaitable<bool> find_stream_origin();
    /// Whether no target of the version that began the stream serves.
    bool is_version_gone() const;
    /// Whether \a target may send events of the stream.
    bool fits_stream(const decision::listed_target& target) const;
    std::vector<const decision::listed_target*> serving_targets() const;
    /// Decides at the first event of an attempt whether the target's events
    /// belong to the stream, and records where a new stream begins.
    bool accept_first_event();
    /// Returns the version of the target of the newest attempt; empty if the
    /// target may have been replaced since the request was sent.
    std::string confirmed_version() const;
    /// Returns the key of the stream that \a request_id of this caller began.
    decision::stream_key stream_key_of(const std::string& request_id) const;
    duration stream_time_limit() const;
    /// Logs and counts an \a event of the stream, whose newest target has
    /// \a version, and was recorded at \a holders.
    void note_stream(std::string_view event, const std::string& version,
                     const std::set<std::string>& holders = {});
    /// Counts how a request that takes up a stream ended.
    void count_take_up();
    /// Logs that a request that takes up a stream waits for its stages.
    void log_take_up_wait(const stage_terms& terms) const;
    awaitable<void> send_refusal();
    unsigned refusal_status() const;
    std::string retry_after() const;
    /// Returns the time until half of the entries serve, after they were told
    /// to stop.
    duration time_to_other_entries() const;
    void log_refusal(unsigned status);
    void log_answer();
    void log_lost_attempt(const decision::target_incarnation& target) const;
    /// Returns how long the newest attempt has had events; zero if it had none.
    duration time_with_events() const;
    const decision::digest& content_digest() const;
    duration remaining_time() const;
    bool is_past_deadline() const
    {
        return remaining_time() <= duration::zero();
    }
    bool is_engine_service() const;
    decision::generation_request make_generation_request() const;

    entry_context& m_context;
    std::shared_ptr<caller_session> m_session;
    http_request m_request;  ///< Without its body.
    request_body_ptr m_body; ///< Null if it is not read.
    request_metadata m_metadata;
    mutable std::optional<decision::digest> m_content_digest;
    mutable std::optional<decision::request_suspects> m_suspects;
    catalog::catalog_ptr m_catalog;
    const catalog::route* m_route = nullptr;
    const catalog::account* m_account = nullptr;
    std::string m_service;
    instant m_started_at;
    instant m_deadline{};
    /// When all requests must have ended because the process stops.
    instant m_process_end = instant::max();
    /// Whether the process ends before the request was sent.
    bool m_is_aborted_by_shutdown = false;
    /// How long the caller has waited since its first try; zero at that try.
    duration m_waited_before{};
    bool m_has_returned = false; ///< Whether the caller was refused before.
    refusal m_refusal = refusal::none;
    std::optional<decision::sending_record> m_sends;
    bool m_is_retry_spent = false; ///< Of the budget, for the newest attempt.
    bool m_has_round_sent = false; ///< The newest round chose a target.
    std::set<decision::target_incarnation> m_tried_targets;
    /// Those of them that have refused the request and may be asked again.
    std::set<decision::target_incarnation> m_refusing_targets;
    decision::quarantine::verdict m_verdict;
    /// Whether this is a trial run of quarantined content.
    bool m_is_trial = false;
    /// Until when a trial waits for a target without other trials.
    instant m_exclusive_until{};
    /// When a cold target next takes a request of this entry.
    std::optional<instant> m_cold_retry_at;
    /// When the first of the targets that may get no request now may get one.
    std::optional<send_time> m_next_send;
    std::shared_ptr<stage_runner> m_stages;
    /// Whether the stages ran again since their results were released early.
    bool m_has_lost_inputs = false;
    std::shared_ptr<target_call> m_call;
    /// Set while m_call brings an answer that ends with its connection, or may
    /// bring one.
    std::shared_ptr<answer_witness> m_witness;
    std::optional<std::uint64_t> m_last_event_id; ///< Of the relayed events.
    bool m_is_head_sent = false;
    bool m_is_take_up_counted = false;
    bool m_has_last_line = false;
    /// Set for requests of streams.
    std::optional<decision::stream_progress> m_progress;
    /// What gave up the stream in progress.
    decision::stream_bound m_stream_bound = decision::stream_bound::none;
    std::string m_target_version; ///< Of the target of the newest attempt.
    /// Where the stream began; unset before its first event.
    std::optional<decision::stream_origin> m_origin;
    /// Key of the stream that the caller takes up, if it is recorded.
    std::optional<decision::stream_key> m_taken_up_key;
    bool m_is_list_old = false; ///< That would tell the stream's version.
    /// Milliseconds from the start of the request to the end of each stage.
    std::string m_stage_times;
    /// When there will be capacity, if the stages were rejected.
    duration m_retry_in{};
    /// Whether the stages were already expected to end late at their start.
    bool m_are_stages_late = false;
    bool m_is_prompt_read = false; ///< By the engine, in the newest attempt.
    instant m_first_event_at{};    ///< Of the newest attempt, if it had one.
    /// Whether the outcome of the newest attempt is already recorded.
    bool m_is_outcome_recorded = false;
    bool m_is_survival_recorded = false;   ///< Of the newest attempt.
    decision::generation_key m_generation; ///< Of the newest attempt.
    std::string m_scheduler; ///< Entry that is told of it; empty for none.
    /// The engine that the scheduler chose for it.
    std::optional<decision::target_incarnation> m_placed_at;
    decision::target_incarnation m_last_target;
    instant m_sent_at{};          ///< Of the newest attempt.
    instant m_stages_done_at{};   ///< When the stages ended.
    instant m_first_byte_at{};    ///< Of the answer from a target.
    unsigned m_answer_status = 0; ///< HTTP status of the target's answer.
    decision::answer_framing m_answer_framing{}; ///< Of that answer.
};

} // namespace mangofold::serving

#pragma once

#include "configuration/config_store.hpp"
#include "decision/concurrency_limit.hpp"
#include "decision/target_gate.hpp"
#include "runtime/clock.hpp"
#include "runtime/metrics.hpp"
#include "sidecar/result_sink.hpp"
#include "sidecar/run_executor.hpp"

#include <mutex>
#include <optional>
#include <string>

namespace mangofold::sidecar
{

/// The contents of a Grant message to an entry.
struct grant_notice
{
    decision::grant_ref grant; ///< Serial 0 if no grant was issued.
    bool is_leaving = false;
    decision::target_load load;
};

/// Thread-safe admission control of the target. Wraps the gate, which decides
/// and does no I/O, in a lock and applies the effects that it returns: runs go
/// to the target, results to the entries.
class admission_controller
{
public:
    using gate = decision::target_gate<decision::adaptive_limit>;

    admission_controller(gate::identity self, gate::bounds limits,
                         const runtime::clock& clock,
                         runtime::metrics& counters);

    /// Sets the receivers of the effects. Must be called before any other
    /// method.
    void set_outputs(result_sink& results, run_executor& executor);

    /// Applies the pool of this target in \a snapshot. Stops new work
    /// permanently if no pool contains the target.
    void configure(const configuration::snapshot_ptr& snapshot);

    /// Returns a new grant for \a link, if the gate issues one, and the state
    /// of the target.
    grant_notice renew_grant(decision::link_id link);

    /// Returns a ticket, or nothing if the target is leaving or not
    /// configured.
    std::optional<decision::ticket> issue_ticket();

    /// Admits, answers or refuses \a work.
    void submit(const decision::submission& work);

    /// Withdraws a submission for which the entry no longer waits.
    void cancel(const decision::submission_ref& ref);

    /// Withdraws the submissions and revokes the grants of a closed stream.
    void close_link(decision::link_id link);

    /// Handles the end of a run.
    void finish(decision::run_id run, const decision::stage_result& result);

    /// Refuses expired queued work and drops outdated outcomes. Must be called
    /// periodically.
    void advance();

    /// Reports to all entries that the target crashed, or its connection was
    /// lost, during \a run, which was sent to the target at \a started_at. A
    /// leaving target is not reported.
    void record_target_crash(const decision::start_run& run,
                             decision::instant started_at);

    /// Stops new work permanently.
    void set_stopping();

    /// Stops new work for a few seconds because the platform lists the target
    /// as leaving; entries repeat the notice. Returns whether the target was
    /// not leaving before.
    bool renew_leaving();

    decision::instant now() const { return m_clock.now(); }
    bool is_leaving() const;
    bool is_idle() const;
    std::uint64_t generation() const;
    std::uint64_t incarnation() const;
    decision::target_load load() const;
    std::size_t ledger_size() const;
    const std::string& target() const { return m_target; }

private:
    void apply(const decision::gate_effects& effects);
    void count_result(const decision::send_result& sent);

    std::string m_target;
    const runtime::clock& m_clock;
    runtime::metrics& m_metrics;
    result_sink* m_results = nullptr;
    run_executor* m_executor = nullptr;
    mutable std::mutex m_mutex;
    gate m_gate;
    std::uint64_t m_target_crashes = 0;
    decision::instant m_last_crash_at{};
};

} // namespace mangofold::sidecar

#pragma once

#include "decision/admission_queue.hpp"
#include "decision/concurrency_limit.hpp"
#include "decision/execution_ledger.hpp"
#include "decision/grant_table.hpp"
#include "decision/ownership_history.hpp"
#include "decision/safeguards.hpp"
#include "decision/stage_result.hpp"
#include "decision/submission.hpp"
#include "decision/target_load.hpp"
#include "decision/ticket_issuer.hpp"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mangofold::decision
{

using run_id = std::uint64_t;

/// Effect: call the target.
struct start_run
{
    run_id run = 0;
    request_key key;
    std::uint32_t attempt = 0;
    bool is_repeatable = true;
    work_class priority = work_class::standard;
    std::string model;
    std::string body;
    duration budget{};
    digest request_digest; ///< Of the caller's whole request.

    friend bool operator==(const start_run&, const start_run&) = default;
};

/// Effect: tell an entry how its submission ended.
struct send_result
{
    submission_ref ref;
    request_key key;
    std::uint32_t attempt = 0;
    stage_result result;

    friend bool operator==(const send_result&, const send_result&) = default;
};

/// Effect: tell the target that no entry waits for the run any more.
struct cancel_run
{
    run_id run = 0;

    friend bool operator==(const cancel_run&, const cancel_run&) = default;
};

using gate_effect = std::variant<start_run, send_result, cancel_run>;
using gate_effects = std::vector<gate_effect>;

/// The part of the configuration that applies to one target.
struct gate_configuration
{
    std::uint64_t generation = 0;
    std::vector<std::string> pool_targets;
    std::size_t slots = 1;
    class_limits queue_limits;
    /// Maximum time from the first send of a request to the start of a run of
    /// the same request.
    duration start_horizon{};
    /// Time within which every process adopts a new manifest.
    duration adoption_bound{};

    friend bool operator==(const gate_configuration&,
                           const gate_configuration&) = default;
};

/// Admission control of a sidecar in front of its target: decides which
/// submissions run, wait, are refused or are answered from the ledger, so that
/// a non-repeatable stage runs at most once. Reads no clock and does no I/O:
/// calls return the effects to apply, in order.
template<concurrency_policy Limit, safeguard_set Safeguards = all_safeguards>
class target_gate
{
public:
    struct identity
    {
        std::string target;
        std::uint64_t incarnation;
        instant started;
    };

    struct bounds
    {
        duration grant_lifetime;
        std::size_t max_ledger_keys;
        std::size_t max_ledger_bytes;
    };

    target_gate(identity self, bounds limits);

    /// Applies a configuration. Ignores \a value if its generation is not
    /// newer.
    gate_effects set_configuration(const gate_configuration& value,
                                   instant now);

    std::uint64_t generation() const { return m_configuration.generation; }
    std::uint64_t incarnation() const { return m_self.incarnation; }

    /// Returns a grant for \a link, or nothing if the target is leaving or not
    /// configured.
    std::optional<grant_ref> issue_grant(link_id link, instant now);

    /// Returns a ticket, or nothing if the target is leaving or not
    /// configured.
    std::optional<ticket> issue_ticket(instant now);

    /// Admits, answers or refuses \a work.
    gate_effects submit(const submission& work, instant now);

    /// Withdraws a submission for which the entry no longer waits.
    gate_effects cancel(const submission_ref& ref, instant now);

    /// Withdraws all submissions of a stream that ended and revokes its
    /// grants.
    gate_effects close_link(link_id link, instant now);

    /// Handles the end of a run.
    gate_effects finish(run_id run, const stage_result& result, instant now);

    /// Refuses queued work whose deadline has passed, and drops stored
    /// outcomes that are older than the horizon.
    gate_effects advance(instant now);

    /// Stops new work permanently.
    gate_effects set_stopping(instant now);

    /// Stops new work until \a until, because the platform lists the target
    /// as leaving.
    gate_effects set_leaving(instant now, instant until);

    /// Whether new work is stopped.
    bool is_leaving(instant now) const
    {
        return m_is_stopping || now < m_leaving_until;
    }

    /// Whether no work is running or queued.
    bool is_idle() const { return m_runs.empty(); }

    target_load load() const;
    std::size_t ledger_size() const { return m_ledger.size(); }

private:
    struct waiter
    {
        submission_ref ref;
        std::uint32_t attempt;
    };

    struct accepted_run
    {
        submission work;
        digest key;
        instant expires;
        instant started{};
        bool is_started = false;
        std::vector<waiter> waiters;
    };

    using optional_result = std::optional<stage_result>;

    optional_result check_incarnation(const submission& work) const;
    optional_result check_generation(const submission& work) const;
    optional_result check_grant(const submission& work, const digest& key,
                                instant now);
    optional_result check_at_most_once(const submission& work,
                                       const digest& key, instant now);
    optional_result check_ticket(const submission& work, instant now) const;
    optional_result check_without_ticket(const submission& work,
                                         const digest& key, instant now) const;
    bool answer_from_ledger(const submission& work, const digest& key,
                            gate_effects& effects);
    void admit(const submission& work, const digest& key, instant now,
               gate_effects& effects);
    void start_runs(instant now, gate_effects& effects);
    gate_effects stop_new_work(instant now);
    void refuse_queued(const std::vector<queued_work>& queued, reason cause,
                       instant now, gate_effects& effects);
    void send_to_waiters(const accepted_run& run, const stage_result& result,
                         gate_effects& effects) const;
    void remove_waiter(run_id id, const submission_ref& ref,
                       gate_effects& effects);
    duration expected_service_time(work_class priority) const;
    duration retry_delay(work_class priority) const;

    static void reply(const submission& work, const stage_result& result,
                      gate_effects& effects)
    {
        effects.push_back(
            send_result{work.ref, work.key, work.attempt, result});
    }

    identity m_self;
    gate_configuration m_configuration;
    Limit m_limit{1};
    grant_table m_grants;
    ticket_issuer m_tickets;
    execution_ledger m_ledger;
    ownership_history m_ownership;
    admission_queue m_queue{class_limits{}};
    std::map<run_id, accepted_run> m_runs;
    run_id m_next_run = 1;
    bool m_is_stopping = false;
    instant m_leaving_until{};
    std::array<duration, work_class_count> m_mean_service_times{};
};

} // namespace mangofold::decision

#include "decision/target_gate.ipp"
#include "decision/target_gate_refusals.ipp"
#include "decision/target_gate_runs.ipp"

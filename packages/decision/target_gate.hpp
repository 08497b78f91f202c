#pragma once

#include "decision/admission_queue.hpp"
#include "decision/concurrency_limit.hpp"
#include "decision/execution_ledger.hpp"
#include "decision/grant_book.hpp"
#include "decision/ownership_history.hpp"
#include "decision/safeguards.hpp"
#include "decision/stage_result.hpp"
#include "decision/submission.hpp"
#include "decision/target_load.hpp"
#include "decision/ticket_book.hpp"

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
    digest request; ///< Of what its caller sent.

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

/// Effect: tell the target that nobody waits for a run any more.
struct cancel_run
{
    run_id run = 0;

    friend bool operator==(const cancel_run&, const cancel_run&) = default;
};

using gate_effect = std::variant<start_run, send_result, cancel_run>;
using gate_effects = std::vector<gate_effect>;

/// What a sidecar takes from the configuration for its own target.
struct gate_configuration
{
    std::uint64_t generation = 0;
    std::vector<std::string> pool_targets;
    std::size_t slots = 1;
    class_limits shares;
    /// From the first sending of a request to the latest start of any.
    duration horizon{};
    /// In which every process takes a new manifest over.
    duration adoption{};

    friend bool operator==(const gate_configuration&,
                           const gate_configuration&) = default;
};

/// Everything that a sidecar decides about the work of its target. It reads
/// no clock and does no input or output: calls return the effects to carry
/// out, in order.
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

    /// Puts a configuration in force. One that is not newer is ignored.
    gate_effects set_configuration(const gate_configuration& value,
                                   instant now);

    std::uint64_t generation() const { return m_configuration.generation; }
    std::uint64_t incarnation() const { return m_self.incarnation; }

    /// Returns a grant for \a link, or nothing where no work is wanted.
    std::optional<grant_ref> issue_grant(link_id link, instant now);

    /// Returns a ticket, or nothing where none may be minted.
    std::optional<ticket> mint_ticket(instant now);

    /// Takes a submission in.
    gate_effects submit(const submission& work, instant now);

    /// Withdraws a submission of which the entry no longer waits.
    gate_effects cancel(const submission_ref& ref, instant now);

    /// Withdraws all submissions of a stream that ended.
    gate_effects close_link(link_id link, instant now);

    /// Takes the end of a run in.
    gate_effects finish(run_id run, const stage_result& result, instant now);

    /// Lets time pass: queued work whose time is over is refused.
    gate_effects advance(instant now);

    /// Stops new work for good.
    gate_effects set_stopping(instant now);

    /// Stops new work until \a until, because the platform calls the target
    /// leaving.
    gate_effects set_leaving(instant now, instant until);

    /// Whether new work is stopped.
    bool is_leaving(instant now) const
    {
        return m_is_stopping || now < m_leaving_until;
    }

    /// Whether neither running nor queued work is left.
    bool is_idle() const { return m_runs.empty(); }

    target_load load() const;
    std::size_t ledger_size() const { return m_ledger.size(); }

private:
    struct waiter
    {
        submission_ref ref;
        std::uint32_t attempt;
    };

    struct run
    {
        submission work;
        digest key;
        instant expires;
        instant started{};
        bool is_started = false;
        std::vector<waiter> waiters;
    };

    using optional_result = std::optional<stage_result>;

    optional_result refuse_other_process(const submission& work) const;
    optional_result refuse_generation(const submission& work) const;
    optional_result refuse_grant(const submission& work, const digest& key,
                                 instant now);
    optional_result refuse_unsafe(const submission& work, const digest& key,
                                  instant now);
    optional_result refuse_dated(const submission& work, instant now) const;
    optional_result refuse_undated(const submission& work, const digest& key,
                                   instant now) const;
    bool answer_from_ledger(const submission& work, const digest& key,
                            gate_effects& effects);
    void admit(const submission& work, const digest& key, instant now,
               gate_effects& effects);
    void start_runs(instant now, gate_effects& effects);
    gate_effects stop_new_work(instant now);
    void refuse_queued(const std::vector<queued_work>& queued, reason why,
                       instant now, gate_effects& effects);
    void send(const run& from, const stage_result& result,
              gate_effects& effects) const;
    void drop_waiter(run_id id, const submission_ref& ref,
                     gate_effects& effects);
    duration expected_service(work_class priority) const;
    duration come_back_after(work_class priority) const;

    static void reply(const submission& work, const stage_result& result,
                      gate_effects& effects)
    {
        effects.push_back(
            send_result{work.ref, work.key, work.attempt, result});
    }

    identity m_self;
    gate_configuration m_configuration;
    Limit m_limit{1};
    grant_book m_grants;
    ticket_book m_tickets;
    execution_ledger m_ledger;
    ownership_history m_owners;
    admission_queue m_queue{class_limits{}};
    std::map<run_id, run> m_runs;
    run_id m_next_run = 1;
    bool m_is_stopping = false;
    instant m_leaving_until{};
    std::array<duration, work_class_count> m_service{};
};

} // namespace mangofold::decision

#include "decision/target_gate.ipp"
#include "decision/target_gate_refusals.ipp"
#include "decision/target_gate_runs.ipp"

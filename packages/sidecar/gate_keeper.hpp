#pragma once

#include "configuration/config_store.hpp"
#include "decision/concurrency_limit.hpp"
#include "decision/target_gate.hpp"
#include "runtime/clock.hpp"
#include "runtime/metrics.hpp"
#include "sidecar/result_sink.hpp"
#include "sidecar/target_port.hpp"

#include <mutex>
#include <optional>
#include <string>

namespace mangofold::sidecar
{

/// What a grant message says.
struct grant_notice
{
    decision::grant_ref grant; ///< Serial 0 where none is given.
    bool is_leaving = false;
    decision::target_load load;
};

/// Guards the target's gate with a lock and carries its effects out.
class gate_keeper
{
public:
    using gate = decision::target_gate<decision::adaptive_limit>;

    gate_keeper(gate::identity self, gate::bounds limits,
                const runtime::clock& time, runtime::metrics& counters);

    /// Sets where effects go. To be called before anything else.
    void set_ports(result_sink& results, target_port& target);

    /// Puts the part of a manifest that concerns this target in force.
    void configure(const configuration::snapshot_ptr& value);

    grant_notice renew_grant(decision::link_id link);
    std::optional<decision::ticket> mint_ticket();
    void submit(const decision::submission& work);
    void cancel(const decision::submission_ref& ref);
    void close_link(decision::link_id link);
    void finish(decision::run_id run, const decision::stage_result& result);
    void advance();

    /// Notes that the target ended, or was lost, under \a run, which was sent
    /// to it at \a began.
    void note_target_lost(const decision::start_run& run,
                          decision::instant began);

    /// Stops new work for good.
    void set_stopping();

    /// Stops new work for as long as the mark is repeated. Returns whether
    /// that is news.
    bool note_leaving();

    decision::instant now() const { return m_clock.now(); }
    bool is_leaving() const;
    bool is_idle() const;
    std::uint64_t generation() const;
    std::uint64_t incarnation() const;
    decision::target_load load() const;
    std::size_t ledger_size() const;
    const std::string& target() const { return m_target; }

private:
    void carry_out(const decision::gate_effects& effects);
    void count(const decision::send_result& result);

    std::string m_target;
    const runtime::clock& m_clock;
    runtime::metrics& m_metrics;
    result_sink* m_results = nullptr;
    target_port* m_port = nullptr;
    mutable std::mutex m_mutex;
    gate m_gate;
    std::uint64_t m_target_ends = 0;
    decision::instant m_target_ended_at{};
};

} // namespace mangofold::sidecar

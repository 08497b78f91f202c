#include "sidecar/admission_controller.hpp"

#include "decision/request_content.hpp"
#include "runtime/event.hpp"

#include <algorithm>

namespace mangofold::sidecar
{

using namespace decision;

namespace
{

// Combines several functions into one visitor.
template<typename... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template<typename... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace

admission_controller::admission_controller(gate::identity self,
                                           gate::bounds limits,
                                           const runtime::clock& clock,
                                           runtime::metrics& counters)
    : m_target(self.target), m_clock(clock), m_metrics(counters),
      m_gate(std::move(self), limits)
{
}

void admission_controller::set_outputs(result_sink& results,
                                       run_executor& executor)
{
    m_results = &results;
    m_executor = &executor;
}

void admission_controller::configure(
    const configuration::snapshot_ptr& snapshot)
{
    const manifest::document& document = snapshot->document;
    for (const manifest::pool& pool : document.pools)
    {
        const auto is_own = [&](const manifest::target& target)
        { return target.id == m_target; };
        if (std::none_of(pool.targets.begin(), pool.targets.end(), is_own))
            continue;
        gate_configuration gate_config;
        gate_config.generation = document.generation;
        for (const manifest::target& target : pool.targets)
            gate_config.pool_targets.push_back(target.id);
        gate_config.slots = pool.slots;
        gate_config.queue_limits = pool.shares;
        gate_config.start_horizon = document.start_horizon();
        gate_config.adoption_bound = manifest::adoption_bound;
        const std::lock_guard lock(m_mutex);
        apply(m_gate.set_configuration(gate_config, m_clock.now()));
        return;
    }
    // A target that the manifest no longer lists is leaving.
    set_stopping();
}

grant_notice admission_controller::renew_grant(link_id link)
{
    const std::lock_guard lock(m_mutex);
    const auto grant = m_gate.issue_grant(link, m_clock.now());
    return {grant.value_or(grant_ref{m_gate.incarnation(), 0}),
            m_gate.is_leaving(m_clock.now()), m_gate.load()};
}

std::optional<ticket> admission_controller::issue_ticket()
{
    const std::lock_guard lock(m_mutex);
    return m_gate.issue_ticket(m_clock.now());
}

void admission_controller::submit(const submission& work)
{
    const std::lock_guard lock(m_mutex);
    apply(m_gate.submit(work, m_clock.now()));
}

void admission_controller::cancel(const submission_ref& ref)
{
    const std::lock_guard lock(m_mutex);
    apply(m_gate.cancel(ref, m_clock.now()));
}

void admission_controller::close_link(link_id link)
{
    const std::lock_guard lock(m_mutex);
    apply(m_gate.close_link(link, m_clock.now()));
}

void admission_controller::finish(run_id run, const stage_result& result)
{
    const std::lock_guard lock(m_mutex);
    apply(m_gate.finish(run, result, m_clock.now()));
}

void admission_controller::advance()
{
    const std::lock_guard lock(m_mutex);
    apply(m_gate.advance(m_clock.now()));
}

// Runs that started before the latest crash was noticed are attributed to that
// crash, so that runs lost together count as one crash.
void admission_controller::record_target_crash(const start_run& run,
                                               instant started_at)
{
    const std::lock_guard lock(m_mutex);
    const instant now = m_clock.now();
    if (m_gate.is_leaving(now))
        return;
    if (m_target_crashes == 0 || started_at >= m_last_crash_at)
    {
        ++m_target_crashes;
        m_last_crash_at = now;
    }
    const target_incarnation target{m_target,
                                    m_gate.incarnation() + m_target_crashes};
    const digest content = stage_content_digest(run.key, run.request_digest);
    runtime::event("run_lost")
        .with("request", run.key.request_id)
        .with("stage", run.key.stage)
        .with("content", to_text(content))
        .with("target", m_target)
        .warn();
    m_results->report_target_crash({content, target, started_at, now});
}

void admission_controller::set_stopping()
{
    const std::lock_guard lock(m_mutex);
    apply(m_gate.set_stopping(m_clock.now()));
}

bool admission_controller::renew_leaving()
{
    // Longer than the interval at which any entry repeats the notice.
    constexpr duration leaving_lease = std::chrono::seconds(5);
    const std::lock_guard lock(m_mutex);
    const instant now = m_clock.now();
    const bool is_change = !m_gate.is_leaving(now);
    apply(m_gate.set_leaving(now, now + leaving_lease));
    if (is_change)
        runtime::event("target_leaving").with("target", m_target).info();
    return is_change;
}

bool admission_controller::is_leaving() const
{
    const std::lock_guard lock(m_mutex);
    return m_gate.is_leaving(m_clock.now());
}

bool admission_controller::is_idle() const
{
    const std::lock_guard lock(m_mutex);
    return m_gate.is_idle();
}

std::uint64_t admission_controller::generation() const
{
    const std::lock_guard lock(m_mutex);
    return m_gate.generation();
}

std::uint64_t admission_controller::incarnation() const
{
    const std::lock_guard lock(m_mutex);
    return m_gate.incarnation();
}

target_load admission_controller::load() const
{
    const std::lock_guard lock(m_mutex);
    return m_gate.load();
}

std::size_t admission_controller::ledger_size() const
{
    const std::lock_guard lock(m_mutex);
    return m_gate.ledger_size();
}

// Effects are applied under the lock, so that the receivers get them in the
// order in which the gate decided them. Neither receiver blocks.
void admission_controller::apply(const gate_effects& effects)
{
    for (const gate_effect& effect : effects)
    {
        std::visit(overloaded{[&](const start_run& run)
                              { m_executor->start(run); },
                              [&](const send_result& result)
                              {
                                  count_result(result);
                                  m_results->send(result, m_gate.load());
                              },
                              [&](const cancel_run& run)
                              { m_executor->cancel(run.run); }},
                   effect);
    }
}

void admission_controller::count_result(const send_result& sent)
{
    const stage_result& result = sent.result;
    ++m_metrics.count(
        {"mangofold_submissions_total",
         runtime::label("status", to_string(result.status)) + "," +
             runtime::label("reason", to_string(result.cause)) + "," +
             runtime::label("replayed", result.is_replayed ? "yes" : "no")});
}

} // namespace mangofold::sidecar

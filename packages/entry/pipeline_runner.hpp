#pragma once

#include "configuration/config_store.hpp"
#include "decision/attempt_policy.hpp"
#include "decision/attempt_step.hpp"
#include "entry/content_guard.hpp"
#include "entry/dispatcher.hpp"
#include "entry/outcome.hpp"
#include "entry/request.hpp"
#include "entry/router.hpp"
#include "entry/stage_latency.hpp"
#include "runtime/clock.hpp"
#include "runtime/metrics.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace mangofold::entry
{

/// Runs requests through the stages of their pipelines, each on the calling
/// thread, and retries attempts that fail.
class pipeline_runner
{
public:
    pipeline_runner(dispatcher& sidecars, router& routes,
                    const runtime::clock& clock, runtime::metrics& metrics);

    /// Returns the outcome of \a value, run under the manifest in \a snapshot.
    outcome run(const request& value,
                const configuration::snapshot_ptr& snapshot);

    /// Returns the tickets for the stages of \a pipeline that must not be
    /// repeated, as text for the client, or nothing if one of them is not
    /// available now.
    std::optional<std::string>
    mint_tickets(const request& value, const manifest::pipeline& pipeline,
                 const configuration::snapshot_ptr& snapshot);

    /// Returns the quarantine of requests that crash targets.
    content_guard& quarantine() { return m_quarantine; }

private:
    struct progress;

    /// Sets the result to refused if the request cannot be expected to
    /// complete within \a allowed. Returns whether it did.
    bool refuse_if_infeasible(progress& state, decision::duration allowed);
    decision::stage_result run_stage(progress& state,
                                     const manifest::stage& stage);
    /// Runs a stage on any target, and on another target after a failure.
    decision::stage_result run_repeatable(progress& state,
                                          const manifest::stage& stage,
                                          stage_cost& cost);
    /// Runs a stage that must not be repeated on the target that owns it.
    decision::stage_result
    run_owned(progress& state, const manifest::stage& stage, stage_cost& cost);
    /// Returns the next result of \a attempts, or nothing if another message
    /// or none arrives before \a until.
    template<typename Attempts>
    std::optional<decision::stage_result>
    next_result(progress& state, const manifest::stage& stage,
                Attempts& attempts, decision::instant until);
    static decision::digest stage_content(const progress& state,
                                          const manifest::stage& stage);
    std::optional<decision::duration>
    quarantine_delay(progress& state, const manifest::stage& stage);
    decision::submission make_submission(const progress& state,
                                         const manifest::stage& stage,
                                         const decision::send_attempt& step);
    /// Returns the targets of the pool in the order in which they own the
    /// stage.
    std::vector<std::string> owners(const progress& state,
                                    const manifest::stage& stage) const;
    void count_unanswered_attempt(const manifest::stage& stage,
                                  decision::reason cause);

    static void set_failure(progress& state, const manifest::stage& stage,
                            const decision::stage_result& result);

    dispatcher& m_sidecars;
    router& m_router;
    const runtime::clock& m_clock;
    runtime::metrics& m_metrics;
    content_guard m_quarantine;
    stage_latency m_latency;
    decision::attempt_policy m_policy;
    std::atomic<std::uint64_t> m_next_seed{1};
};

} // namespace mangofold::entry

#pragma once

#include "configuration/config_store.hpp"
#include "decision/attempt_policy.hpp"
#include "decision/attempt_step.hpp"
#include "entry/content_guard.hpp"
#include "entry/dispatcher.hpp"
#include "entry/outcome.hpp"
#include "entry/request.hpp"
#include "entry/router.hpp"
#include "entry/stage_timing.hpp"
#include "runtime/clock.hpp"
#include "runtime/metrics.hpp"

#include <atomic>
#include <memory>
#include <string>

namespace mangofold::entry
{

/// Runs one request through the stages of its pipeline, on the calling
/// thread.
class pipeline_runner
{
public:
    pipeline_runner(dispatcher& sidecars, router& routes,
                    const runtime::clock& time, runtime::metrics& counters);

    /// Returns how \a value ended under the manifest \a in_force.
    outcome run(const request& value,
                const configuration::snapshot_ptr& in_force);

    /// Returns the ticket text for a request through \a pipeline, or nothing
    /// where an owner mints none now.
    std::optional<std::string>
    mint(const request& value, const manifest::pipeline& pipeline,
         const configuration::snapshot_ptr& in_force);

    /// What is known of requests that end targets.
    content_guard& contents() { return m_contents; }

private:
    struct progress;

    bool is_hopeless(progress& state, decision::duration allowed);
    decision::stage_result run_stage(progress& state,
                                     const manifest::stage& stage);
    decision::stage_result run_repeatable(progress& state,
                                          const manifest::stage& stage,
                                          stage_cost& cost);
    decision::stage_result
    run_owned(progress& state, const manifest::stage& stage, stage_cost& cost);
    template<typename Attempts>
    std::optional<decision::stage_result>
    next_result(progress& state, const manifest::stage& stage,
                Attempts& attempts, decision::instant until);
    static decision::digest content_of(const progress& state,
                                       const manifest::stage& stage);
    std::optional<decision::duration> keep_back(progress& state,
                                                const manifest::stage& stage);
    decision::submission submission_for(const progress& state,
                                        const manifest::stage& stage,
                                        const decision::send_attempt& step);
    std::vector<std::string> owners(const progress& state,
                                    const manifest::stage& stage) const;
    void count_retry(const manifest::stage& stage, decision::reason why);

    static void conclude(progress& state, const manifest::stage& stage,
                         const decision::stage_result& result);

    dispatcher& m_sidecars;
    router& m_router;
    const runtime::clock& m_clock;
    runtime::metrics& m_metrics;
    content_guard m_contents;
    stage_timing m_timing;
    decision::attempt_policy m_policy;
    std::atomic<std::uint64_t> m_seed{1};
};

} // namespace mangofold::entry

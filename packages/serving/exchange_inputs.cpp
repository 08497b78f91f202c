#include "serving/exchange.hpp"

namespace mangofold::serving
{

namespace
{

/// Releases the results of \a stages after \a time if \a call is still in
/// progress. The owner of both may be gone by then.
awaitable<void> release_after(entry_context& context, duration time,
                              std::weak_ptr<stage_runner> stages,
                              std::weak_ptr<target_call> call)
{
    loop_timer timer(context.loop, time);
    error_code ignored; // No other code cancels this timer.
    co_await timer.async_wait(store_error_in(ignored));
    const auto running_call = call.lock();
    const auto runner = stages.lock();
    if (!running_call || running_call->is_given_up() || !runner ||
        runner->is_released())
        co_return;
    ++context.metrics.count({"results_released_early", ""});
    runner->release();
}

} // namespace

// Results fill the memory of the targets that made them, which delays other
// requests. After the first early release that went wrong, this request keeps
// its results.
void exchange::schedule_early_release(
    const decision::target_incarnation& engine)
{
    if (!m_stages || !is_engine_service() || m_has_lost_inputs ||
        !m_context.input_release.may_release_early(engine, m_context.now()))
        return;
    if (const auto time = m_stages->result_fetch_time())
        spawn(m_context.loop,
              release_after(m_context, *time, m_stages, m_call));
}

// The next attempt needs the results, whether this one failed for lack of them
// or for another reason.
exchange::attempt_outcome
exchange::outcome_without_inputs(attempt_outcome outcome,
                                 const decision::target_incarnation& engine)
{
    const bool has_failed = outcome == attempt_outcome::retry ||
                            outcome == attempt_outcome::redo_stages;
    if (!has_failed || !m_stages || !m_stages->is_released())
        return outcome;
    if (m_is_prompt_read)
        return attempt_outcome::redo_stages;
    if (outcome == attempt_outcome::redo_stages)
        m_context.input_release.note_inputs_lost(engine);
    m_has_lost_inputs = true;
    m_context.count("stages_run_again", "why", "released_early");
    return attempt_outcome::redo_stages;
}

} // namespace mangofold::serving

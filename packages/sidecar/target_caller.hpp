#pragma once

#include "runtime/address.hpp"
#include "runtime/child.hpp"
#include "runtime/clock.hpp"
#include "runtime/metrics.hpp"
#include "sidecar/admission_controller.hpp"
#include "sidecar/run_executor.hpp"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace mangofold::runtime
{
class http_client;
}

namespace mangofold::sidecar
{

/// Calls the target over HTTP from a pool of threads, and reports the results
/// to the admission control.
class target_caller : public runtime::child, public run_executor
{
public:
    target_caller(runtime::address target, unsigned threads,
                  admission_controller& admission, const runtime::clock& clock,
                  runtime::metrics& counters);
    ~target_caller() override;

    const std::string& name() const override { return m_name; }
    void start() override;
    void stop() noexcept override;
    bool has_failed() const override { return false; }

    void start(const decision::start_run& run) override;
    void cancel(decision::run_id run) override;

private:
    struct queued_run
    {
        decision::start_run run;
        decision::instant expires;
    };

    struct cancel_call
    {
        std::string body;
    };

    using job = std::variant<queued_run, cancel_call>;

    void run_worker();
    void execute(const job& next_job, runtime::http_client& keep_alive_client);
    decision::stage_result call_target(const queued_run& queued,
                                       runtime::http_client& keep_alive_client);
    decision::stage_result post(runtime::http_client& client,
                                const decision::start_run& run,
                                decision::duration time_left);

    std::string m_name = "target_caller";
    runtime::address m_target;
    unsigned m_thread_count;
    admission_controller& m_admission;
    const runtime::clock& m_clock;
    runtime::metrics& m_metrics;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::condition_variable m_jobs_changed;
    std::deque<job> m_jobs;
    std::map<decision::run_id, std::string> m_cancel_bodies;
    bool m_is_stopping = false;
};

} // namespace mangofold::sidecar

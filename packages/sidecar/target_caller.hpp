#pragma once

#include "runtime/address.hpp"
#include "runtime/child.hpp"
#include "runtime/clock.hpp"
#include "runtime/metrics.hpp"
#include "sidecar/gate_keeper.hpp"
#include "sidecar/target_port.hpp"

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

/// Calls the target over HTTP, on a few threads of its own.
class target_caller : public runtime::child, public target_port
{
public:
    target_caller(runtime::address target, unsigned threads,
                  gate_keeper& keeper, const runtime::clock& time,
                  runtime::metrics& counters);
    ~target_caller() override;

    const std::string& name() const override { return m_name; }
    void start() override;
    void stop() noexcept override;
    bool has_failed() const override { return false; }

    void start(const decision::start_run& run) override;
    void cancel(decision::run_id run) override;

private:
    struct timed_run
    {
        decision::start_run run;
        decision::instant expires;
    };

    struct cancel_call
    {
        std::string body;
    };

    using job = std::variant<timed_run, cancel_call>;

    void work();
    void carry_out(const job& next, runtime::http_client& kept);
    decision::stage_result call(const timed_run& next,
                                runtime::http_client& kept);
    decision::stage_result post(runtime::http_client& client,
                                const decision::start_run& run,
                                decision::duration left);

    std::string m_name = "target_caller";
    runtime::address m_target;
    unsigned m_thread_count;
    gate_keeper& m_keeper;
    const runtime::clock& m_clock;
    runtime::metrics& m_metrics;
    std::vector<std::thread> m_threads;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<job> m_jobs;
    std::map<decision::run_id, std::string> m_cancel_bodies;
    bool m_is_stopping = false;
};

} // namespace mangofold::sidecar

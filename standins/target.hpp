#pragma once

#include "runtime/http_server.hpp"

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace mangofold::standins
{

/// How a stand-in target behaves; can be changed while it runs.
struct behaviour
{
    unsigned service_ms = 0;  ///< Time of a run.
    unsigned slots = 1;       ///< Runs at once; more wait.
    unsigned slow_factor = 1; ///< Times that by which a run is slower.
    bool is_failing = false;  ///< Answers every run with an error.
};

/// A target that works by sleeping. It records what it really ran, as one
/// line for each run, for a checker.
class target
{
public:
    target(std::string id, std::string kind, behaviour initial,
           const std::string& record_file);

    void add_to(runtime::http_server& server);

private:
    runtime::http_reply run(const runtime::http_request& request);
    runtime::http_reply cancel(const runtime::http_request& request);
    runtime::http_reply control(const runtime::http_request& request);
    void record(const std::string& line);

    std::string m_id;
    std::string m_kind;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    behaviour m_behaviour;
    unsigned m_running = 0;
    std::set<std::string> m_cancelled;
    std::mutex m_record_mutex;
    std::ofstream m_record;
};

} // namespace mangofold::standins

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

/// The behaviour of a simulated target. "/control" can change it at run time,
/// except for the number of slots.
struct behaviour
{
    unsigned service_ms = 0;  ///< Duration of a run.
    unsigned slots = 1;       ///< Concurrent runs; further ones wait.
    unsigned slow_factor = 1; ///< Multiplies the duration of a run.
    bool is_failing = false;  ///< Answers every run with status 500.
};

/// Simulates a target: sleeps for the duration of a run and returns an output
/// for it. Appends one line to a record file for each run that does not fail,
/// from which a checker learns which runs took place.
class target
{
public:
    /// Records no runs if \a record_file is empty.
    target(std::string id, std::string kind, behaviour initial,
           const std::string& record_file);

    /// Registers the handlers of the target with \a server.
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
    unsigned m_run_count = 0;
    std::set<std::string> m_cancelled_attempts;
    std::mutex m_record_mutex;
    std::ofstream m_record_file;
};

} // namespace mangofold::standins

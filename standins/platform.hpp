#pragma once

#include "runtime/http_server.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace mangofold::standins
{

/// The platform's configuration service and its lagging instance list. Both
/// can only be read by the system; "/control" is for experiments.
class platform
{
public:
    /// Serves the manifest in \a body. The instance list shows a change
    /// after \a list_lag.
    platform(std::string body, std::chrono::milliseconds list_lag);

    void add_to(runtime::http_server& server);

private:
    using time_point = std::chrono::steady_clock::time_point;

    runtime::http_reply manifest(const runtime::http_request& request);
    runtime::http_reply instances();
    runtime::http_reply control(const runtime::http_request& request);
    bool is_down();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_body;
    std::string m_published;
    std::uint64_t m_generation = 0;
    bool m_is_down = false;
    bool m_is_stale = false;
    std::uint64_t m_reads = 0;
    std::chrono::milliseconds m_list_lag;
    std::map<std::string, time_point> m_leaving;
};

} // namespace mangofold::standins

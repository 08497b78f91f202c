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

/// Simulates the platform's configuration service and its instance list, which
/// shows changes late. The system only reads both; tests and benchmarks change
/// them through "/control".
class platform
{
public:
    /// Serves \a manifest. The instance list shows a change after a delay of
    /// \a list_lag.
    platform(std::string manifest, std::chrono::milliseconds list_lag);

    /// Registers the handlers of the simulated services with \a server.
    void add_to(runtime::http_server& server);

private:
    using time_point = std::chrono::steady_clock::time_point;

    runtime::http_reply manifest(const runtime::http_request& request);
    runtime::http_reply instances();
    runtime::http_reply control(const runtime::http_request& request);
    bool is_down();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_manifest;
    std::string m_published_manifest;
    std::uint64_t m_generation = 0;
    bool m_is_down = false;
    bool m_is_stale = false;
    std::uint64_t m_read_count = 0;
    std::chrono::milliseconds m_list_lag;
    std::map<std::string, time_point> m_leaving_since;
};

} // namespace mangofold::standins

#pragma once

#include "runtime/address.hpp"
#include "serving/asio.hpp"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// Settings that a process cannot run with.
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// What one entry process is told.
struct node_settings
{
    std::string name;
    std::string zone;
    std::string region;
    runtime::address callers;            ///< Where callers connect.
    runtime::address readiness;          ///< Where the balancer asks.
    runtime::address peers;              ///< Where other entries connect.
    runtime::address announced;          ///< As they are told to; the same
                                         ///< unless something stands between.
    runtime::address source;             ///< Of configuration and target list.
    std::vector<runtime::address> seeds; ///< Some entries; may be stale.
    duration grace{};                    ///< From the signal to the end.
    int unready_answers = 2;   ///< After these a balancer sends nobody new.
    double retry_share = 0.1;  ///< Of a service's requests.
    double retry_reserve = 10; ///< Retries beyond that in a window.
    duration retry_window{};
    duration leaving_time{};  ///< In which leaving targets stop getting work.
    duration adoption_time{}; ///< In which a configuration is in force.
    std::size_t memory_bytes = 0;
    std::size_t most_descriptors = 1024;
    double cores = 1;

    friend bool operator==(const node_settings&,
                           const node_settings&) = default;
};

} // namespace mangofold::serving

#pragma once

#include "runtime/address.hpp"
#include "serving/asio.hpp"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// Reports settings that are unreadable or invalid.
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Settings of one entry process.
struct node_settings
{
    std::string name;
    std::string zone;
    std::string region;
    runtime::address caller_address;    ///< Listens for callers.
    runtime::address readiness_address; ///< Listens for the load balancer's
                                        ///< readiness checks.
    runtime::address peer_address;      ///< Listens for other entries.
    runtime::address announced_address; ///< Where other entries reach
                                        ///< \c peer_address; differs from it
                                        ///< behind a proxy.
    runtime::address source_address;    ///< Publishes the configuration and
                                        ///< the list of targets.
    /// Where the record keepers beside the targets listen; 0 if there are none.
    std::uint16_t record_keeper_port = 0;
    std::vector<runtime::address> seeds; ///< First entries to contact; some may
                                         ///< no longer exist.
    duration grace{};                    ///< From the stop signal to the exit.
    /// Number of "not ready" replies after which the load balancer sends no new
    /// callers here.
    int min_unready_replies = 2;
    double retry_share = 0.1;  ///< Retries allowed as a share of a service's
                               ///< requests.
    double retry_reserve = 10; ///< Additional retries in each window.
    duration retry_window{};
    duration max_leaving_delay{}; ///< Within which leaving targets get no more
                                  ///< work.
    duration max_configuration_delay{}; ///< Within which a new configuration is
                                        ///< in force.
    std::size_t memory_bytes = 0;
    std::size_t max_descriptors = 1024;
    double cores = 1;

    friend bool operator==(const node_settings&,
                           const node_settings&) = default;
};

} // namespace mangofold::serving

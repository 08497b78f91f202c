#pragma once

#include "decision/cold_targets.hpp"
#include "decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::catalog
{

/// One stage of a route: pieces of work that must complete before the request
/// itself can run.
struct stage
{
    std::string service;
    /// Indexes of the stages whose results this stage takes as inputs.
    std::vector<std::size_t> dependencies;
    std::uint64_t result_bytes = 0; ///< Approximate result size of a piece.

    friend bool operator==(const stage&, const stage&) = default;
};

/// A service that receives a share of a route's requests in proportion to its
/// weight.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service&,
                           const weighted_service&) = default;
};

/// How the requests of one host and path prefix are handled.
struct route
{
    std::string name;
    std::string host;           ///< Lower case.
    std::string prefix;         ///< Begins and ends with a slash.
    bool is_repeatable = false; ///< A request may be executed more than once.
    bool is_stream = false;     ///< Answers are event streams.
    bool is_resumable = false;  ///< Another target can resume a broken stream.
    bool is_public = false;     ///< Requests need no API key.
    decision::duration timeout{}; ///< Longest time to serve a request.
    decision::duration latency_objective{}; ///< For a whole answer.
    decision::duration gap_objective{};     ///< For pauses between events.
    decision::duration patience{}; ///< Longest silence of a stream after which
                                   ///< callers disconnect; 0 if they never do.
    std::uint32_t priority = 0;    ///< 0 is the highest.
    std::uint32_t max_targets = 1; ///< That may execute one request.
    std::vector<weighted_service> services;
    std::vector<stage> stages;

    friend bool operator==(const route&, const route&) = default;
};

/// Capacity and speed of one target of a service that executes stages.
struct call_profile
{
    std::uint32_t slots = 1;               ///< Calls executed concurrently.
    std::uint32_t queue = 0;               ///< Calls that may wait for a slot.
    std::uint32_t max_pieces = 1;          ///< Largest batch of one call.
    decision::duration time_per_call{};    ///< Fixed execution time of a call.
    decision::duration time_per_piece{};   ///< Additional time for each piece.
    std::uint64_t result_memory_bytes = 0; ///< Memory for results.
    decision::duration result_lifetime{};  ///< Results are deleted after it.
    double link_bytes_per_s = 0;           ///< Bandwidth for fetching inputs.

    friend bool operator==(const call_profile&, const call_profile&) = default;
};

/// Capacity of one target of a service that runs a model engine.
struct engine_capacity
{
    std::uint32_t slots = 1;         ///< Requests executed concurrently.
    std::uint64_t memory_tokens = 0; ///< Tokens that fit the engine's cache.

    friend bool operator==(const engine_capacity&,
                           const engine_capacity&) = default;
};

/// A group of interchangeable targets.
struct service
{
    std::string name;
    std::uint32_t max_connections = 1;     ///< To one target, over all callers.
    std::optional<call_profile> calls;     ///< Unset if it executes no stages.
    std::optional<engine_capacity> engine; ///< Unset if it has no engine.
    decision::warm_up warm_up{}; ///< Load limits of a target that just started.
    /// Path that its targets answer without running a request.
    std::string status_path = "/";

    friend bool operator==(const service&, const service&) = default;
};

/// Limits on the size of a request and on how long its caller may take to send
/// it or keep an idle connection.
struct caller_limits
{
    std::size_t header_bytes = 16384;
    std::size_t body_bytes = 1 << 22;
    decision::duration header_time = std::chrono::seconds(3);
    decision::duration idle_time = std::chrono::seconds(15);

    friend bool operator==(const caller_limits&,
                           const caller_limits&) = default;
};

/// A client account and the API keys that identify it.
struct account
{
    std::string name;
    std::uint32_t priority = 0;
    std::vector<std::string> keys;

    friend bool operator==(const account&, const account&) = default;
};

/// One version of the configuration that operators declare.
struct document
{
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    bool checks_keys = false; ///< Whether requests need an API key.
    std::vector<account> accounts;

    friend bool operator==(const document&, const document&) = default;
};

} // namespace mangofold::catalog

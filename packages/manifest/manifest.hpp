#pragma once

#include "decision/admission_queue.hpp"
#include "decision/reason.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mangofold::manifest
{

/// A target: one back end and the sidecar that runs beside it. Addresses are
/// "IP:port".
struct target
{
    std::string id;
    std::string zone;
    std::string address;
    std::string sidecar;

    friend bool operator==(const target&, const target&) = default;
};

/// A pool: interchangeable targets, any of which can run a stage.
struct pool
{
    std::string id;
    std::size_t slots = 1; ///< Concurrent stage runs of one target.
    decision::class_limits shares;
    bool checks_orders = false; ///< Whether targets reject stale orders.
    std::vector<target> targets;

    friend bool operator==(const pool&, const pool&) = default;
};

/// One step of a pipeline, run by a target of one pool.
struct stage
{
    std::string id;
    std::string pool;
    std::string model;         ///< "model:version" or "model:version+adapter".
    bool is_repeatable = true; ///< Whether a second run does no harm.

    friend bool operator==(const stage&, const stage&) = default;
};

/// The stages that requests of one kind run through, in order, within one
/// deadline.
struct pipeline
{
    std::string id;
    decision::work_class priority = decision::work_class::standard;
    decision::duration deadline{}; ///< The maximum that callers may request.
    std::vector<stage> stages;

    /// Whether all stages are repeatable.
    bool is_repeatable() const;

    friend bool operator==(const pipeline&, const pipeline&) = default;
};

/// A client account with its share of the capacity and its rate limit.
struct account
{
    std::string id;
    std::uint32_t weight = 1;
    double rate_per_s = 0; ///< Requests over all entries; 0 for no limit.
    double burst = 0;

    friend bool operator==(const account&, const account&) = default;
};

/// A model with its versions and adapters.
struct model
{
    std::string id;
    std::vector<std::string> versions;
    std::vector<std::string> adapters;

    friend bool operator==(const model&, const model&) = default;
};

/// The time for which a sidecar's grant permits stage runs to start.
constexpr decision::duration grant_lifetime = std::chrono::seconds(2);

/// The time within which every process adopts a new generation.
constexpr decision::duration adoption_bound = std::chrono::seconds(16);

/// The manifest: everything that operators declare, in one generation.
struct document
{
    std::uint64_t generation = 0;
    /// The time within which callers may send a request again.
    decision::duration resend_horizon{};
    std::vector<std::string> zones;
    /// Zones whose targets get no work, as if they were not declared.
    std::vector<std::string> evacuated_zones;
    std::vector<model> models;
    std::vector<pool> pools;
    std::vector<pipeline> pipelines;
    std::vector<account> accounts;

    /// Returns the maximum time between the first submission of a
    /// non-repeatable request and the latest start of a run of any later
    /// submission of the request.
    decision::duration start_horizon() const;

    /// Removes the targets of the evacuated zones from their pools.
    void drop_evacuated_targets();

    /// Return the item with \a id, or null if none is declared.
    const pool* find_pool(const std::string& id) const;
    const pipeline* find_pipeline(const std::string& id) const;
    const account* find_account(const std::string& id) const;

    friend bool operator==(const document&, const document&) = default;
};

} // namespace mangofold::manifest

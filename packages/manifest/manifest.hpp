#pragma once

#include "decision/admission_queue.hpp"
#include "decision/reason.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace mangofold::manifest
{

/// One back end with the sidecar beside it. Addresses are "IP:port".
struct target
{
    std::string id;
    std::string zone;
    std::string address;
    std::string sidecar;

    friend bool operator==(const target&, const target&) = default;
};

/// Targets that do the same work.
struct pool
{
    std::string id;
    std::size_t slots = 1; ///< Runs that one target takes at once.
    decision::class_limits shares;
    bool checks_orders = false; ///< Whether targets refuse stale orders.
    std::vector<target> targets;

    friend bool operator==(const pool&, const pool&) = default;
};

/// One step of a pipeline.
struct stage
{
    std::string id;
    std::string pool;
    std::string model; ///< "model:version" or "model:version+adapter".
    bool is_repeatable = true;

    friend bool operator==(const stage&, const stage&) = default;
};

/// The stages that one kind of request passes, under one deadline.
struct pipeline
{
    std::string id;
    decision::work_class priority = decision::work_class::standard;
    decision::duration deadline{}; ///< The longest one a caller may ask.
    std::vector<stage> stages;

    bool is_repeatable() const;

    friend bool operator==(const pipeline&, const pipeline&) = default;
};

/// Who sends requests, and how much.
struct account
{
    std::string id;
    std::uint32_t weight = 1;
    double rate_per_s = 0; ///< Over all entries; 0 sets no limit.
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

/// How long a sidecar's grant lets work start.
constexpr decision::duration grant_lifetime = std::chrono::seconds(2);

/// In which a new generation is in force in every process.
constexpr decision::duration adoption_bound = std::chrono::seconds(16);

/// One generation of everything that operators declare.
struct document
{
    std::uint64_t generation = 0;
    decision::duration resend_horizon{};
    std::vector<std::string> zones;
    /// Their targets get nothing, as if they were not declared.
    std::vector<std::string> evacuated_zones;
    std::vector<model> models;
    std::vector<pool> pools;
    std::vector<pipeline> pipelines;
    std::vector<account> accounts;

    /// Returns the longest time between the first sending of a request that
    /// may not be repeated and the latest start of any sending of it.
    decision::duration start_horizon() const;

    /// Removes the targets of the evacuated zones from their pools.
    void drop_evacuated_targets();

    const pool* find_pool(const std::string& id) const;
    const pipeline* find_pipeline(const std::string& id) const;
    const account* find_account(const std::string& id) const;

    friend bool operator==(const document&, const document&) = default;
};

} // namespace mangofold::manifest

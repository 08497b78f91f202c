#pragma once

#include "catalog/catalog_index.hpp"
#include "decision/cold_targets.hpp"
#include "decision/decaying_max.hpp"
#include "decision/drain.hpp"
#include "decision/engine_selector.hpp"
#include "decision/loop_lag.hpp"
#include "decision/moving_mean.hpp"
#include "decision/quarantine.hpp"
#include "decision/random_source.hpp"
#include "decision/retry_budget.hpp"
#include "decision/target_directory.hpp"
#include "decision/target_standing.hpp"
#include "decision/zone_evacuations.hpp"
#include "runtime/clock.hpp"
#include "runtime/metrics.hpp"
#include "serving/dialect.hpp"
#include "serving/job_executor.hpp"
#include "serving/node_settings.hpp"
#include "serving/target_links.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace mangofold::serving
{

/// How often the loop notes a turn of its own.
constexpr duration turn_interval = std::chrono::milliseconds(100);

/// What the parts of one entry process share. Used on its one thread only.
struct entry_context
{
    entry_context(asio::io_context& its_loop, const runtime::clock& its_time,
                  const dialect& its_speech, node_settings its_settings,
                  std::uint64_t seed)
        : loop(its_loop), time(its_time), speech(its_speech),
          settings(std::move(its_settings)), links(its_loop, its_time),
          standing(seed), random(seed + 1)
    {
    }

    instant now() const { return time.now(); }

    /// Whether this process knows enough to send requests on: the catalog,
    /// targets, and the zones that are evacuated.
    bool is_informed() const
    {
        return catalog && knows_targets && evacuations.is_known();
    }

    /// Notes how long \a target says that it stays cold.
    void note_cold(const decision::listed_target& target)
    {
        cold.note_cold(target.start, target.cold_for, now());
    }

    /// Returns what the targets of \a service bear while they are cold.
    decision::warm_up warm_up_of(const std::string& service) const
    {
        const auto* known = catalog ? catalog->find_service(service) : nullptr;
        return known == nullptr ? decision::warm_up() : known->warm_up;
    }

    /// Returns the retry budget of \a service.
    decision::retry_budget& retries_of(const std::string& service);

    /// Counts an event with a label.
    void count(const std::string& name, const std::string& of,
               std::string_view value)
    {
        ++metrics.count({name, runtime::label(of, value)});
    }

    asio::io_context& loop;
    const runtime::clock& time;
    const dialect& speech;
    node_settings settings;
    runtime::metrics metrics;
    catalog::catalog_ptr catalog; ///< Nothing before the first is known.
    decision::target_directory directory;
    decision::zone_evacuations evacuations;
    decision::cold_targets cold;
    bool knows_targets = false; ///< A part of the list was read, or relayed.
    bool knows_all_targets = false; ///< The list was read whole once.
    /// Until when requests wait for what this process has not read yet: its
    /// first configuration, and a first target of their service.
    instant requests_wait_until{};
    target_links links;
    decision::target_standing standing;
    decision::engine_selector engines;
    decision::quarantine quarantine;
    /// The place of this entry among all for a matter; alone where unset.
    std::function<decision::seat(const std::string&)> seat_for =
        [](const std::string&) { return decision::seat(); };
    decision::random_source random;
    /// What is known of the answers to the requests of a route.
    struct route_times
    {
        /// From a send to the first event. Before one is known: a first token
        /// takes a tenth of a second or two.
        decision::moving_mean first{std::chrono::milliseconds(150)};
        /// From the first event to the last one, for each token asked for.
        decision::moving_mean per_token{duration::zero()};
        /// From a request's head to its first send.
        decision::moving_mean before{duration::zero()};

        decision::decaying_max answer; ///< From a send to its end.
    };
    std::map<std::string, route_times> routes; ///< By name.
    job_executor* pieces = nullptr;
    std::map<std::string, decision::retry_budget> retries;
    std::size_t entries_answering = 1; ///< Now, this one included.
    std::size_t entries_known = 1;     ///< The most that ever did.
    /// Whether enough of the others were seen to know how many there are.
    std::function<bool()> knows_entries = [] { return true; };

    /// Returns how many entries share what all of them may do together. One
    /// that does not answer now may do its part all the same.
    std::size_t entries_sharing() const
    {
        return std::max<std::size_t>(entries_known, settings.seeds.size());
    }
    /// How far behind the loop is; whoever runs it notes its turns.
    decision::loop_lag lateness{turn_interval};
    std::optional<decision::drain> drain; ///< While the process stops.
    /// Whether enough other entries go on for longer than this one, which is
    /// stopping, to take its callers.
    std::function<bool()> is_outlasted = [] { return false; };

    bool is_stopping() const { return drain.has_value(); }
};

inline decision::retry_budget&
entry_context::retries_of(const std::string& service)
{
    const auto found = retries.find(service);
    if (found != retries.end())
        return found->second;
    // All entries draw on one budget. Each keeps to its own part of the
    // fixed reserve: half of it is left for entries that start again with a
    // full part, or are not known yet.
    const double reserve =
        settings.retry_reserve / 2 / static_cast<double>(entries_sharing());
    return retries
        .try_emplace(service, settings.retry_share * 0.9,
                     std::max(1.0, reserve))
        .first->second;
}

} // namespace mangofold::serving

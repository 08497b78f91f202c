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
#include "serving/node_settings.hpp"
#include "serving/piece_maker.hpp"
#include "serving/target_links.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace mangofold::serving
{

/// Interval of the timer that measures how late the event loop runs.
constexpr duration turn_interval = std::chrono::milliseconds(100);

/// State shared by the components of one entry process. Used only on the thread
/// of its event loop.
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

    /// Whether this process can forward requests: it has the catalog, some
    /// targets, and the list of evacuated zones.
    bool is_informed() const
    {
        return catalog && knows_targets && evacuations.is_known();
    }

    /// Records for how long \a target reports to stay cold.
    void note_cold(const decision::listed_target& target)
    {
        cold.note_cold(target.start, target.cold_for, now());
    }

    /// Returns the load limits of cold targets of \a service.
    decision::warm_up warm_up_of(const std::string& service) const
    {
        const auto* found = catalog ? catalog->find_service(service) : nullptr;
        return found == nullptr ? decision::warm_up() : found->warm_up;
    }

    /// Returns the retry budget of \a service.
    decision::retry_budget& retries_of(const std::string& service);

    /// Increments the counter \a name with the label \a of set to \a value.
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
    catalog::catalog_ptr catalog; ///< Null until the first one is known.
    decision::target_directory directory;
    decision::zone_evacuations evacuations;
    decision::cold_targets cold;
    bool knows_targets = false;     ///< Part of the list was received
                                    ///< from the source or an entry.
    bool knows_all_targets = false; ///< The whole list was read at least
                                    ///< once.
    /// End of the time after the start in which requests wait for data that
    /// this process has not read yet: the first catalog and a first target of
    /// the requested service.
    instant requests_wait_until{};
    target_links links;
    decision::target_standing standing;
    decision::engine_selector engines;
    decision::quarantine quarantine;
    /// Returns the rank of this entry among all entries for a subject. The
    /// default ranks this entry as the only one.
    std::function<decision::ordinal(const std::string&)> seat_for =
        [](const std::string&) { return decision::ordinal(); };
    decision::random_source random;
    /// Measured times of the requests of a route.
    struct route_times
    {
        /// From a send to the first event. Starts with a typical time to the
        /// first token, one to two tenths of a second.
        decision::moving_mean first{std::chrono::milliseconds(150)};
        /// From the first event to the last one, per requested token.
        decision::moving_mean per_token{duration::zero()};
        /// From the arrival of a request's head to its first send to a target.
        decision::moving_mean before{duration::zero()};

        /// From a send to the end of the answer.
        decision::decaying_max answer;
    };
    std::map<std::string, route_times> routes; ///< By name.
    piece_maker* pieces = nullptr;
    std::map<std::string, decision::retry_budget> retries;
    std::size_t entries_answering = 1; ///< Including this one.
    std::size_t entries_known = 1;     ///< Highest number that ever answered.
    /// Whether enough other entries have answered to know the fleet's size.
    std::function<bool()> knows_entries = [] { return true; };

    /// Returns the number of entries that share limits of the whole fleet. It
    /// counts entries that do not answer now, as they may still use their
    /// share.
    std::size_t entries_sharing() const
    {
        return std::max<std::size_t>(entries_known, settings.seeds.size());
    }
    /// How late the event loop runs. Its owner records the runs of a periodic
    /// timer.
    decision::loop_lag lateness{turn_interval};
    std::optional<decision::drain> drain; ///< Set while the process stops.
    /// Whether enough other entries keep running for longer than this stopping
    /// one to serve its callers.
    std::function<bool()> is_outlasted = [] { return false; };

    bool is_stopping() const { return drain.has_value(); }
};

inline decision::retry_budget&
entry_context::retries_of(const std::string& service)
{
    const auto found = retries.find(service);
    if (found != retries.end())
        return found->second;
    // All entries share one budget, and each uses only its own part of the
    // fixed reserve. Half of the reserve is left for entries that restart with
    // a full part or are not known yet.
    const double reserve =
        settings.retry_reserve / 2 / static_cast<double>(entries_sharing());
    return retries
        .try_emplace(service, settings.retry_share * 0.9,
                     std::max(1.0, reserve))
        .first->second;
}

} // namespace mangofold::serving

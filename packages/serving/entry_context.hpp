#pragma once

#include "catalog/catalog_index.hpp"
#include "decision/admission/returning_callers.hpp"
#include "decision/answers/unframed_services.hpp"
#include "decision/cold_targets.hpp"
#include "decision/decaying_max.hpp"
#include "decision/drain.hpp"
#include "decision/engines/generation_record.hpp"
#include "decision/loop_lag.hpp"
#include "decision/moving_mean.hpp"
#include "decision/quarantine.hpp"
#include "decision/random_source.hpp"
#include "decision/request_limits.hpp"
#include "decision/resting_targets.hpp"
#include "decision/retry_budget.hpp"
#include "decision/stages/input_release.hpp"
#include "decision/streams/version_history.hpp"
#include "decision/target_directory.hpp"
#include "decision/target_health.hpp"
#include "decision/zone_evacuations.hpp"
#include "runtime/clock.hpp"
#include "runtime/metrics.hpp"
#include "serving/call_ids.hpp"
#include "serving/dialect.hpp"
#include "serving/job_executor.hpp"
#include "serving/node_settings.hpp"
#include "serving/target_connection_pool.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace mangofold::serving
{

/// Interval of the timer that measures how late the event loop runs.
constexpr duration loop_probe_interval = std::chrono::milliseconds(100);

class engine_scheduler;
class stream_registry;

/// State shared by the components of one entry process. Used only on the thread
/// of its event loop.
struct entry_context
{
    entry_context(asio::io_context& event_loop,
                  const runtime::clock& process_clock,
                  const dialect& target_protocol,
                  node_settings initial_settings, std::uint64_t seed)
        : loop(event_loop), time(process_clock), protocol(target_protocol),
          settings(std::move(initial_settings)), request_limits(seed + 2),
          bodies(settings.memory_bytes),
          connection_pool(event_loop, process_clock, bodies), call_ids(seed),
          target_health(seed), random(seed + 1)
    {
        request_limits.set_position_source([this](const std::string& target)
                                           { return position_for(target); });
    }
    // Not copyable: request_limits refers to the context.
    entry_context(const entry_context&) = delete;
    entry_context& operator=(const entry_context&) = delete;

    instant now() const { return time.now(); }

    /// Whether this process can forward requests: it has the catalog, some
    /// targets, and the list of evacuated zones.
    bool has_routing_state() const
    {
        return catalog && has_some_targets && evacuations.is_complete();
    }

    /// Records for how long \a target reports to stay cold.
    void note_cold(const decision::listed_target& target)
    {
        cold_targets.note_cold(target.incarnation, target.warm_up_left, now());
    }

    /// Whether any target is cold, resting or states a limit.
    bool has_restricted_targets() const
    {
        return cold_targets.has_any() || resting_targets.has_any() ||
               request_limits.has_any();
    }

    /// Returns the load limits of cold targets of \a service.
    decision::warm_up warm_up_of(const std::string& service) const
    {
        const auto* found = catalog ? catalog->find_service(service) : nullptr;
        return found == nullptr ? decision::warm_up() : found->warm_up;
    }

    /// Returns what one engine of \a service can hold.
    decision::engine_limits engine_limits_of(const std::string& service) const
    {
        const auto* found = catalog ? catalog->find_service(service) : nullptr;
        if (found == nullptr || !found->engine)
            return {};
        return {found->engine->slots, found->engine->memory_tokens};
    }

    /// Returns the retry budget of \a service.
    decision::retry_budget& retry_budget_for(const std::string& service);

    /// Increments the counter \a name with the label \a label_name set to
    /// \a value.
    void count(const std::string& name, const std::string& label_name,
               std::string_view value)
    {
        ++metrics.count({name, runtime::label(label_name, value)});
    }

    asio::io_context& loop;
    const runtime::clock& time;
    const dialect& protocol;
    node_settings settings;
    runtime::metrics metrics;
    catalog::catalog_ptr catalog; ///< Null until the first one is known.
    decision::target_directory directory;
    decision::zone_evacuations evacuations;
    decision::cold_targets cold_targets;
    decision::unframed_services unframed_services;
    decision::request_limits request_limits;
    decision::resting_targets resting_targets;
    bool has_some_targets = false; ///< Part of the list was received from
                                   ///< the source or another entry.
    bool has_all_targets = false;  ///< The whole list was read at least
                                   ///< once.
    instant list_current_at{};     ///< When the source last confirmed that the
                                   ///< list of targets is up to date.
    /// End of the time after the start in which requests wait for data that
    /// this process has not read yet: the first catalog and a first target of
    /// the requested service.
    instant startup_wait_end{};
    body_memory bodies; ///< Of the callers' requests and their answers.
    target_connection_pool connection_pool; ///< Idle target connections.
    serving::call_ids call_ids;             ///< Of this process's own calls.
    decision::target_health target_health;
    decision::engine_selector engines;
    decision::input_release input_release; ///< By the engines' statements.
    decision::generation_record generations{engines};
    /// Asks and answers for engines; set by the owner. Without it, this entry
    /// chooses by its own records.
    engine_scheduler* scheduler = nullptr;
    /// Records where streams began; set by the owner. Without it, no stream can
    /// be taken up.
    stream_registry* streams = nullptr;
    decision::version_history versions;
    /// Has the source confirm soon that the list of targets is up to date.
    std::function<void()> confirm_list = [] {};
    decision::quarantine quarantine;
    /// Returns the rank of this entry among all entries for a subject. The
    /// default ranks this entry as the only one.
    std::function<decision::ordinal(const std::string&)> ordinal_for =
        [](const std::string&) { return decision::ordinal(); };
    decision::random_source random;
    /// Measured times of the requests of a route.
    struct route_times
    {
        /// From a send to the first event. Starts with a typical time to the
        /// first token, one to two tenths of a second.
        decision::moving_mean time_to_first_event{
            std::chrono::milliseconds(150)};
        /// From the first event to the last one, per requested token.
        decision::moving_mean time_per_token{duration::zero()};
        /// From the arrival of a request's head to its first send to a target.
        decision::moving_mean time_to_send{duration::zero()};

        /// From a send to the end of the answer.
        decision::decaying_max answer_time;
    };
    std::map<std::string, route_times> times_by_route; ///< By name.
    /// The callers of each route with stages, by its name.
    std::map<std::string, decision::returning_callers> callers_by_route;
    /// Executes the stage jobs of pipeline requests; set by the owner.
    job_executor* stage_executor = nullptr;
    std::map<std::string, decision::retry_budget> retry_budgets;
    std::size_t responding_entries = 1; ///< Including this one.
    std::size_t peak_entries = 1;       ///< Highest number that ever answered.
    /// Whether enough other entries have answered to know the fleet's size.
    std::function<bool()> is_fleet_size_known = [] { return true; };

    /// Returns the number of entries that share limits of the whole fleet. It
    /// counts entries that do not answer now, as they may still use their
    /// share.
    std::size_t fleet_size() const
    {
        return std::max<std::size_t>(peak_entries, settings.seeds.size());
    }

    /// Returns the position of this entry among those that share the limit of
    /// \a target, or nothing while the size of the fleet is unknown.
    std::optional<decision::fleet_position>
    position_for(const std::string& target) const
    {
        if (!is_fleet_size_known())
            return std::nullopt;
        return decision::fleet_position{ordinal_for(target), fleet_size()};
    }

    /// How late the event loop runs. Its owner records the runs of a periodic
    /// timer.
    decision::loop_lag loop_lag{loop_probe_interval};
    std::optional<decision::drain> drain; ///< Set while the process stops.
    /// Returns which other entries serve what this stopping one refuses.
    std::function<decision::other_entries()> others_while_stopping = []
    { return decision::other_entries::few; };

    /// Returns by when half of the fleet serves again, if entries do so some
    /// time after they were told to stop.
    std::function<instant(duration)> half_back_at = [this](duration stop_time)
    { return drain ? drain->started_at() + stop_time : now(); };

    bool is_stopping() const { return drain.has_value(); }
};

inline decision::retry_budget&
entry_context::retry_budget_for(const std::string& service)
{
    const auto found = retry_budgets.find(service);
    if (found != retry_budgets.end())
        return found->second;
    // All entries share one budget, and each uses only its own part of the
    // fixed reserve. Half of the reserve is left for entries that restart with
    // a full part or are not known yet.
    const double reserve =
        settings.retry_reserve / 2 / static_cast<double>(fleet_size());
    return retry_budgets
        .try_emplace(service, settings.retry_share * 0.9,
                     std::max(1.0, reserve))
        .first->second;
}

} // namespace mangofold::serving

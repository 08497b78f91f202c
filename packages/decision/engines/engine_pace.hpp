#pragma once

#include "decision/target_incarnation.hpp"
#include "decision/time.hpp"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace mangofold::decision
{

/// A generation whose first event is awaited.
struct awaited_first_event
{
    std::string service;
    double tokens = 0; ///< Prompt tokens to read until then, also of others.
    duration expected{};
    instant overdue_at{}; ///< See engine_pace::pace.

    friend bool operator==(const awaited_first_event&,
                           const awaited_first_event&) = default;
};

/// Learns how long the engines of a service take to the first event of a
/// generation, and the pace of each engine: its times relative to the average
/// of its service. A pace of 2 means twice as long.
class engine_pace
{
public:
    static constexpr double min_pace = 0.2;
    static constexpr double max_pace = 5;

    /// Returns the pace of \a target: 1 for an unknown one. While a first event
    /// is overdue, the engine counts as slow.
    double pace(const target_incarnation& target, instant now) const;

    /// Returns the pace of \a target without regard to overdue first events:
    /// what other entries are told, who hear nothing of the event that ends it.
    double learned_pace(const target_incarnation& target, instant now) const;

    /// Returns the average time of \a service to read one prompt token.
    duration time_per_token(const std::string& service) const;

    /// Returns the average time of \a service to the first event after the
    /// prompt was read.
    duration fixed_time(const std::string& service) const;

    /// Notes that a generation was sent to \a target, which has to read \a
    /// tokens until the first event.
    awaited_first_event note_sent(const std::string& service,
                                  const target_incarnation& target,
                                  double tokens, instant now);

    /// Notes the first event of a generation, \a took after it was sent.
    void note_first_event(const target_incarnation& target,
                          const awaited_first_event& awaited, duration took,
                          instant now);

    /// Notes that no first event is awaited any longer.
    void note_abandoned(const target_incarnation& target,
                        const awaited_first_event& awaited);

    /// Notes the pace of \a target that another entry has learned.
    void note_reported(const target_incarnation& target, double pace,
                       instant now);

    /// Removes the engines without recent samples.
    void expire(instant now);

    /// Returns the lowest and the highest pace; 1 and 1 without engines.
    std::pair<double, double> range(instant now) const;

private:
    /// Decaying sums of a linear regression of times over tokens.
    struct service_times
    {
        double weight = 0;
        double tokens = 0;
        double ms = 0;
        double squared_tokens = 0;
        double tokens_ms = 0;
        double fixed_ms = 0;
        double ms_per_token = 0;

        service_times();
        void add(double sample_tokens, double sample_ms);
        void fit();
    };

    struct engine
    {
        double expected_ms = 0; ///< Sums over the samples, decayed to
        double actual_ms = 0;   ///< `updated_at`.
        instant updated_at{};
        instant last_event_at{};
        std::multiset<instant> overdue_at; ///< Of the awaited first events.

        void decay(instant now);
        bool is_overdue(instant now) const;
    };

    static double learned_pace(const engine& observed, instant now);
    static void remove(engine& observed, instant overdue_at);

    std::map<std::string, service_times> m_services;
    std::unordered_map<target_incarnation, engine> m_engines;
};

} // namespace mangofold::decision

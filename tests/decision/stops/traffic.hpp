#pragma once

#include "decision/time.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <optional>
#include <random>
#include <vector>

namespace mangofold::test
{

using namespace mangofold::decision;
using namespace std::chrono_literals;

inline constexpr int zone_count = 3;
inline constexpr instant first_time{1h};
/// Before the first stop, entries learn how long answers take.
inline constexpr instant first_stop = first_time + 6s;
inline constexpr duration first_event_aim = 1s;
inline constexpr duration first_event_time = 100ms;
inline constexpr duration exit_time = 250ms;

/// How entries are told to stop and come back.
struct roll
{
    int entries = 6;
    int stopped = 6;
    duration gap = 670ms;
    duration grace = 8s;
    duration restart = 600ms; ///< From the exit to the first readiness.
    bool exits_when_idle = true;
    bool has_checks = true; ///< Whether the balancer checks readiness.
};

enum class outcome
{
    in_time,
    late,
    refused,
    cut
};

struct outcome_counts
{
    int counts[4] = {};

    int& at(outcome result) { return counts[static_cast<int>(result)]; }
    int total() const { return counts[0] + counts[1] + counts[2] + counts[3]; }
    double share(outcome result) const
    {
        return total() == 0
                   ? 0
                   : static_cast<double>(counts[static_cast<int>(result)]) /
                         total();
    }
    void add(const outcome_counts& other)
    {
        for (int kind = 0; kind < 4; ++kind)
            counts[kind] += other.counts[kind];
    }
};

/// Lengths are distributed lognormally between bounds.
struct route
{
    double mean_s = 1;
    double sigma = 0.5;
    duration shortest{};
    duration longest{};
    duration timeout{};
};

inline const std::vector<route> usual_routes{{0.05, 0.5, 10ms, 500ms, 1s},
                                             {1.0, 0.4, 500ms, 2s, 6s},
                                             {1.0, 0.4, 500ms, 2s, 8s},
                                             {1.5, 0.8, 100ms, 5s, 15s},
                                             {1.5, 0.8, 100ms, 5s, 20s}};

struct request
{
    instant at{};
    std::size_t route = 0;
    int zone = 0;
    duration wait{}; ///< Before it is sent to a target.
    duration length{};
    duration relay_lag{}; ///< From the end of the answer to its last byte.
    double choice = 0;    ///< Of the balancer, from 0 to 1.
    double second_choice = 0;
    std::optional<std::size_t> connection; ///< That was open before.
};

/// The same requests for each policy.
struct traffic
{
    std::vector<route> routes;
    std::vector<request> requests;
    std::size_t connections = 0;
    instant end{};
    instant slow_from = instant::max();
    std::vector<duration> phases;

    duration check_phase(int entry) const { return phases[entry]; }

    /// Engines that are slow need four times as long for the rest.
    instant ended_at(instant sent_at, duration length) const
    {
        const instant usual = sent_at + length;
        if (usual <= slow_from)
            return usual;
        const instant slowed = std::max(sent_at, slow_from);
        return slowed + 4 * (usual - slowed);
    }
};

/// \a rate is of all requests per second.
inline traffic random_traffic(unsigned seed, std::vector<route> routes,
                              int entries, double rate, duration longest_wait,
                              duration time)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<> uniform(0, 1);
    const auto part_of = [&](duration whole)
    { return std::chrono::duration_cast<duration>(whole * uniform(random)); };
    traffic load;
    load.routes = std::move(routes);
    load.connections = 4 * static_cast<std::size_t>(entries);
    load.end = first_time + time;
    for (int entry = 0; entry < entries; ++entry)
        load.phases.push_back(part_of(1s));
    const std::chrono::duration<double> step(1 / rate);
    instant at = first_time;
    for (;;)
    {
        at += std::chrono::duration_cast<duration>(
            -std::log(1 - uniform(random)) * step);
        if (at >= load.end)
            return load;
        request next;
        next.at = at;
        next.route = random() % load.routes.size();
        next.zone = static_cast<int>(random() % zone_count);
        const route& path = load.routes[next.route];
        std::lognormal_distribution<> length(
            std::log(path.mean_s) - path.sigma * path.sigma / 2, path.sigma);
        next.length =
            std::clamp(std::chrono::duration_cast<duration>(
                           std::chrono::duration<double>(length(random))),
                       path.shortest, path.longest);
        next.wait = part_of(longest_wait);
        next.relay_lag = part_of(190ms);
        next.choice = uniform(random);
        next.second_choice = uniform(random);
        if (uniform(random) < 0.5)
            next.connection = random() % load.connections;
        load.requests.push_back(next);
    }
}

} // namespace mangofold::test

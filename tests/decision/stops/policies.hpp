#pragma once

#include "decision/drain.hpp"

#include <algorithm>
#include <concepts>
#include <vector>

namespace mangofold::test
{

using namespace mangofold::decision;
using namespace std::chrono_literals;

/// What a stopping entry knows when a request arrives.
struct arrival_at_stopping
{
    const drain& draining;
    instant now;
    duration typical{}; ///< Mean of the route's answers.
    duration longest{}; ///< 1.5 times the longest recent answer.
    duration bound{};   ///< Until the request's own deadline.
    other_entries others = other_entries::few;
    bool is_returning = false;

    bool has_remaining_peers() const { return others == other_entries::most; }
};

/// Decides which requests a stopping entry takes.
template<class T>
concept admission_policy = requires(const T& policy,
                                    const arrival_at_stopping& arrival)
{
    {
        policy.accepts(arrival)
        } -> std::same_as<bool>;
};

/// The longest recent answer of the route has to fit before the end.
struct estimate_policy
{
    bool accepts(const arrival_at_stopping& arrival) const
    {
        const drain& draining = arrival.draining;
        if (!draining.is_out_of_rotation(arrival.now))
            return true;
        const bool fits =
            arrival.now + arrival.longest <= draining.request_deadline();
        if (arrival.has_remaining_peers())
            return arrival.typical <= 300ms && fits;
        return arrival.now < draining.started_at() + 2500ms || fits;
    }
};

/// The request's own deadline has to come before the end.
struct deadline_policy
{
    bool accepts(const arrival_at_stopping& arrival) const
    {
        return arrival.draining.accepts(arrival.now,
                                        {arrival.typical, arrival.bound},
                                        arrival.others, arrival.is_returning);
    }
};

/// Without others, any request until shortly before callers lose the excuse
/// that they sent it within 3 s after the signal.
struct excused_policy
{
    bool accepts(const arrival_at_stopping& arrival) const
    {
        return deadline_policy().accepts(arrival) ||
               (!arrival.has_remaining_peers() &&
                arrival.now < arrival.draining.started_at() + 2900ms);
    }
};

/// No long request from the signal on.
struct short_only_policy
{
    bool accepts(const arrival_at_stopping& arrival) const
    {
        return arrival.typical <= 300ms && deadline_policy().accepts(arrival);
    }
};

/// What an entry knows of the fleet when it refuses a request.
struct refusal_at_stopping
{
    instant now;
    instant own_end;
    duration longest_delay{}; ///< That the caller follows.
    std::size_t entries = 0;  ///< Of the whole fleet.
    /// When those that have not restarted were told to stop, in order.
    std::vector<instant> stopping_since;

    /// Entries that run, or that stop and that the balancer has not noticed.
    std::size_t accepting() const
    {
        return entries -
               static_cast<std::size_t>(std::count_if(
                   stopping_since.begin(), stopping_since.end(),
                   [this](instant since) { return now - since >= 2200ms; }));
    }
};

/// Returns the delay after which a refused caller should return.
template<class T>
concept return_policy = requires(const T& policy,
                                 const refusal_at_stopping& refused)
{
    {
        policy.delay(refused)
        } -> std::same_as<duration>;
};

struct until_own_end
{
    duration delay(const refusal_at_stopping& refused) const
    {
        return refused.own_end - refused.now;
    }
};

struct at_once
{
    duration delay(const refusal_at_stopping&) const { return 50ms; }
};

/// Until a share of the fleet is expected to run: at least one entry.
struct until_share_is_back
{
    double share = 0;
    duration stop_time{}; ///< From the signal until the entry is back.

    duration delay(const refusal_at_stopping& refused) const
    {
        const std::vector<instant>& since = refused.stopping_since;
        const std::size_t running = refused.entries - since.size();
        const std::size_t needed = std::max<std::size_t>(
            1, static_cast<std::size_t>(share *
                                        static_cast<double>(refused.entries)));
        if (needed <= running)
            return 50ms;
        return since.at(needed - running - 1) + stop_time - refused.now;
    }
};

/// When most entries are expected to take the request; a late answer counts
/// for a part of one in time.
struct when_most_accept
{
    duration stop_time{}; ///< From the signal until the entry is back.
    double worth_late = 0.5;
    /// If fewer accept at any of these times, until the end of the process.
    double least_share = 0;

    duration delay(const refusal_at_stopping& refused) const
    {
        const auto running = static_cast<double>(refused.entries -
                                                 refused.stopping_since.size());
        double best = static_cast<double>(refused.accepting());
        duration chosen = 50ms;
        double back = running;
        for (const instant since : refused.stopping_since)
        {
            const duration wait =
                std::max<duration>(50ms, since + stop_time - refused.now);
            back += 1;
            const double worth = back * (wait < 700ms ? 1 : worth_late);
            if (wait <= refused.longest_delay && worth > best)
            {
                best = worth;
                chosen = wait;
            }
        }
        const bool do_few_accept =
            best < least_share * static_cast<double>(refused.entries);
        return do_few_accept ? refused.own_end - refused.now : chosen;
    }
};

/// At once if a share of the fleet takes every request.
template<return_policy Otherwise>
struct at_once_if_others_accept
{
    double share = 0;
    Otherwise otherwise{};

    duration delay(const refusal_at_stopping& refused) const
    {
        const bool do_accept = static_cast<double>(refused.accepting()) >=
                               share * static_cast<double>(refused.entries);
        return do_accept ? 50ms : otherwise.delay(refused);
    }
};

} // namespace mangofold::test

#include "world.hpp"

#include <doctest/doctest.h>

#include <numeric>

using namespace mangofold::test;

namespace
{

struct drawn_world
{
    roll plan;
    traffic load;
};

/// Draws routes, lengths, waits, slow engines, stops and readiness checks.
drawn_world draw(unsigned seed)
{
    std::mt19937 random(seed);
    const auto from = [&](double low, double high)
    { return std::uniform_real_distribution<>(low, high)(random); };
    const auto time = [&](double low, double high)
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(from(low, high)));
    };
    drawn_world drawn;
    roll& plan = drawn.plan;
    plan.entries = 1 + static_cast<int>(random() % 6);
    plan.stopped = 1 + static_cast<int>(random() % plan.entries);
    plan.gap = time(0, 3);
    plan.grace = time(4, 12);
    plan.has_checks = random() % 4 != 0;
    std::vector<route> routes;
    for (int count = 0; count < 4; ++count)
        routes.push_back({.mean_s = from(0.02, 2),
                          .sigma = from(0.1, 1.2),
                          .shortest = 5ms,
                          .longest = time(0.5, 30),
                          .timeout = time(0.3, 20)});
    drawn.load =
        random_traffic(seed, routes, plan.entries, plan.entries * from(2, 12),
                       time(0, 3), 6s + plan.stopped * plan.gap + 13s);
    if (random() % 2 == 0)
        drawn.load.slow_from = first_time + time(0, 20);
    return drawn;
}

template<admission_policy Admission, return_policy Return>
outcome_counts total_of(const stops_world<Admission, Return>& world)
{
    outcome_counts total;
    for (const auto& [second, counts] : world.outcomes)
        total.add(counts);
    return total;
}

/// Returns the share of callers served in time in the worst second.
template<class Outcomes>
double worst_second(const Outcomes& outcomes)
{
    double worst = 1;
    for (const auto& [second, counts] : outcomes)
        worst = std::min(worst, counts.share(outcome::in_time));
    return worst;
}

constexpr unsigned seeds = 4000;

} // namespace

// Guards against streams that stopping entries take late and then cut.
TEST_CASE("no request taken later than 3 s after the signal is cut")
{
    int taken_late = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        CAPTURE(seed);
        const drawn_world drawn = draw(seed);
        stops_world world(drawn.plan, drawn.load, deadline_policy(),
                          until_own_end());
        world.run();
        CHECK(world.cut_although_late == 0);
        CHECK(world.late_exits == 0);
        taken_late += std::accumulate(world.taken_late.begin(),
                                      world.taken_late.end(), 0);
    }
    CHECK(taken_late > 5000);
}

// Guards against callers that are refused by an entry to which the balancer
// sends them again.
TEST_CASE("before the balancer has noticed, only half of the entries refuse")
{
    for (unsigned seed = 1; seed <= seeds / 4; ++seed)
    {
        CAPTURE(seed);
        const drawn_world drawn = draw(seed);
        stops_world world(drawn.plan, drawn.load, deadline_policy(),
                          until_own_end());
        world.run();
        CHECK(world.refused_before_noticed == 0);
    }
}

// Guards against a model in which no late request could be cut.
TEST_CASE("the model cuts late requests that an estimate lets in")
{
    int cut = 0;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        const drawn_world drawn = draw(seed);
        stops_world world(drawn.plan, drawn.load, estimate_policy(),
                          until_own_end());
        world.run();
        cut += world.cut_although_late;
    }
    CHECK(cut > 500);
}

// Guards against callers that notice the restart of half of the fleet.
TEST_CASE("all callers are served while half of the entries stop")
{
    const roll plan{.entries = 24, .stopped = 12, .gap = 670ms};
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        const traffic load =
            random_traffic(seed, usual_routes, 24, 240, 300ms, 24s);
        stops_world world(plan, load, deadline_policy(), until_own_end());
        world.run();
        const outcome_counts total = total_of(world);
        CHECK(total.share(outcome::in_time) > 0.999);
        CHECK(total.share(outcome::refused) < 0.0005);
        CHECK(total.share(outcome::cut) < 0.0005);
    }
}

// Guards against a fleet that refuses what it could finish when all stop.
TEST_CASE("entries that all stop take what they can finish")
{
    const roll plan{.gap = 300ms};
    const std::vector<route> routes{{0.05, 0.5, 10ms, 500ms, 1s},
                                    {0.7, 0.4, 300ms, 2s, 3s}};
    std::map<int, outcome_counts> seconds;
    for (unsigned seed = 1; seed <= 20; ++seed)
    {
        const traffic load = random_traffic(seed, routes, 6, 60, 300ms, 18s);
        stops_world world(plan, load, deadline_policy(), until_own_end());
        world.run();
        for (const auto& [second, counts] : world.outcomes)
            seconds[second].add(counts);
    }
    CHECK(worst_second(seconds) > 0.98);
}

// Guards against a stopping entry that stays out of service for long requests
// that others could have taken.
TEST_CASE("an entry takes no late long request while others go on")
{
    const roll plan{.entries = 24, .stopped = 1, .has_checks = false};
    const std::vector<route> routes{{1.0, 0.4, 500ms, 2s, 3s}};
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        const traffic load = random_traffic(seed, routes, 24, 240, 300ms, 16s);
        stops_world world(plan, load, deadline_policy(), until_own_end());
        world.run();
        CHECK(world.taken_late[0] == 0);
        CHECK(world.stop_times.at(0) < 6s);
        CHECK(total_of(world).share(outcome::in_time) > 0.999);
    }
}

// Guards against entries that are the first of many to stop and wait for
// requests that the later ones could have taken.
TEST_CASE("the first of many entries to stop take no late long request")
{
    const roll plan{
        .entries = 24, .stopped = 24, .gap = 300ms, .has_checks = false};
    const std::vector<route> routes{{1.0, 0.4, 500ms, 2s, 3s}};
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        const traffic load = random_traffic(seed, routes, 24, 240, 300ms, 24s);
        stops_world world(plan, load, deadline_policy(), until_own_end());
        world.run();
        for (int first = 0; first < 5; ++first)
            CHECK(world.taken_late[first] == 0);
        CHECK(world.refused_while_running > 0);
    }
}

// Guards against refusals that delay callers more than their request would
// delay the exit.
TEST_CASE("a stopping entry takes short requests while others go on")
{
    const roll plan{.entries = 24, .stopped = 1, .has_checks = false};
    const std::vector<route> routes{{0.05, 0.5, 10ms, 250ms, 1s}};
    for (unsigned seed = 1; seed <= 5; ++seed)
    {
        CAPTURE(seed);
        const traffic load = random_traffic(seed, routes, 24, 480, 100ms, 16s);
        stops_world world(plan, load, deadline_policy(), until_own_end());
        world.run();
        CHECK(world.refused_while_running == 0);
    }
}

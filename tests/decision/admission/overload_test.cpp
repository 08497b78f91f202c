#include "decision/admission/overload_simulation.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace mangofold::decision;
using namespace std::chrono_literals;
using mangofold::test::overload_simulation;
using request = overload_simulation::request;

namespace
{

stage_job job_of(urgency ranks, const std::string& account = {})
{
    stage_job result;
    result.urgency = ranks;
    result.account = account;
    return result;
}

double share(std::size_t part, std::size_t whole)
{
    return static_cast<double>(part) / static_cast<double>(whole);
}

/// The share of the requests that meet \a condition that were served.
template<typename Condition>
double served_share(const overload_simulation& simulation, Condition condition)
{
    const auto all = simulation.select(condition);
    const auto served = std::count_if(
        all.begin(), all.end(), [](const request* each) { return each->done; });
    return share(static_cast<std::size_t>(served), all.size());
}

bool is_on_time(const request& each)
{
    return each.done && overload_simulation::start + *each.done <= each.job.due;
}

} // namespace

// Load: 0.8 times the capacity, all requests with the same objective.
// Guards against rejections by a service that is not overloaded.
TEST_CASE("nothing is rejected while there is capacity for all")
{
    overload_simulation simulation;
    simulation.add(0s, 10s, 150, job_of({0, 0}), 2s, 6s);
    simulation.add(0s, 10s, 60, job_of({0, 2}), 2s, 6s);
    simulation.run(16s);
    CHECK(
        simulation.select([](const request& each) { return !is_on_time(each); })
            .empty());
}

// Load: a burst of the most urgent kind at 1.5 times the capacity, for seven
// seconds, over a steady load of the least urgent kind.
// Guards against bursts in which all requests are started and end late, and in
// which callers learn only near their deadline that they aren't served.
TEST_CASE("in a burst, requests are served in time or rejected at once")
{
    overload_simulation simulation;
    const urgency urgent{0, 0};
    const urgency bulk{0, 2};
    simulation.add(0s, 20s, 60, job_of(bulk), 5s, 20s);
    simulation.add(3s, 10s, 400, job_of(urgent), 2s, 6s);
    simulation.run(45s);
    const auto is_urgent = [urgent](const request& each)
    { return each.job.urgency == urgent; };
    const auto is_bulk = [bulk](const request& each)
    { return each.job.urgency == bulk; };
    const auto served = simulation.select(
        [&](const request& each) { return is_urgent(each) && each.done; });
    const auto in_time =
        simulation.select([&](const request& each)
                          { return is_urgent(each) && is_on_time(each); });
    const auto burst = simulation.select(is_urgent);
    CHECK(share(in_time.size(), burst.size()) > 0.55);
    CHECK(share(in_time.size(), served.size()) > 0.9);
    CHECK(simulation
              .select([](const request& each)
                      { return each.expired.has_value(); })
              .empty());
    const auto rejected = simulation.select(
        [&](const request& each) { return is_urgent(each) && each.rejected; });
    const auto slow = simulation.select(
        [&](const request& each)
        {
            return is_urgent(each) && each.rejected &&
                   *each.rejected - each.arrives > 50ms;
        });
    CHECK(slow.empty());
    for (const request* each : rejected)
        CHECK(each->retry_in <= 1800ms);
    const double overall =
        served_share(simulation, [](const request&) { return true; });
    const auto during_burst = [&](const request& each)
    { return is_bulk(each) && each.arrives >= 3s && each.arrives < 10s; };
    CHECK(served_share(simulation, during_burst) >= overall / 4);
    // The service is never idle during the burst.
    CHECK(simulation
              .select(
                  [](const request& each) {
                      return each.done && *each.done > 3500ms &&
                             *each.done <= 10s;
                  })
              .size() > 0.93 * 266 * 6.5);
}

// Load: a burst of the most urgent kind at 1.5 times the capacity of the second
// service, which the first one could take, over a load of the least urgent
// kind. Guards against a forecast that sees only the first service: all
// requests were started, and nearly all missed their objective by a little.
TEST_CASE("a burst that only the second service can't do")
{
    overload_simulation simulation;
    simulation.add_later_service(160);
    stage_job urgent = job_of({0, 0});
    urgent.downstream = {{"later", 1}};
    stage_job bulk = job_of({0, 2});
    bulk.downstream = {{"later", 1}};
    simulation.add(0s, 20s, 40, bulk, 5s, 20s);
    simulation.add(3s, 10s, 200, urgent, 2s, 6s);
    simulation.run(45s);
    const auto is_urgent = [](const request& each) {
        return each.job.urgency == urgency{0, 0};
    };
    const auto burst = simulation.select(is_urgent);
    const auto served = simulation.select(
        [&](const request& each) { return is_urgent(each) && each.done; });
    const auto in_time =
        simulation.select([&](const request& each)
                          { return is_urgent(each) && is_on_time(each); });
    CAPTURE(burst.size());
    CAPTURE(served.size());
    CAPTURE(in_time.size());
    CHECK(share(in_time.size(), served.size()) > 0.9);
    CHECK(share(in_time.size(), burst.size()) > 0.7);
    const auto slow = simulation.select(
        [&](const request& each)
        {
            return is_urgent(each) && each.rejected &&
                   *each.rejected - each.arrives > 50ms;
        });
    CAPTURE(slow.size());
    // Late requests for one call are kept for the case that the burst ends.
    CHECK(slow.size() < burst.size() / 20);
    // The second service is always busy in the burst.
    CHECK(simulation
              .select(
                  [](const request& each)
                  { return each.done && *each.done > 4s && *each.done <= 10s; })
              .size() > 0.95 * 160 * 6);
}

// Load: a burst of a less urgent kind with a long objective at 1.6 times the
// capacity of the second service, over a small load of a more urgent kind whose
// objective leaves time to wait for one call, but not two. Guards against a
// queue at the second service that suits the burst and makes the urgent kind
// late or rejected.
TEST_CASE("a burst of a less urgent kind leaves an urgent one its objective")
{
    overload_simulation simulation;
    simulation.add_later_service(160);
    stage_job urgent = job_of({0, 1});
    urgent.downstream = {{"later", 1}};
    stage_job burst = job_of({0, 2});
    burst.downstream = {{"later", 1}};
    simulation.add(0s, 14s, 40, urgent, 1300ms, 6s);
    simulation.add(3s, 9s, 220, burst, 4s, 6s);
    simulation.run(30s);
    const auto is_urgent = [](const request& each) {
        return each.job.urgency == urgency{0, 1};
    };
    const auto in_time =
        simulation.select([&](const request& each)
                          { return is_urgent(each) && is_on_time(each); });
    CAPTURE(in_time.size());
    CHECK(share(in_time.size(), simulation.select(is_urgent).size()) > 0.9);
}

// Load: bursts of the two most urgent kinds at the same time, each at the
// capacity of the service, beside few requests of a less urgent account.
// Guards against a less urgent kind of which a larger share is served, and
// against one that starves as long as the bursts last.
TEST_CASE("of two bursts at once, the more urgent one is served first")
{
    overload_simulation simulation;
    simulation.add(0s, 30s, 20, job_of({1, 0}), 2s, 6s);
    simulation.add(2s, 30s, 266, job_of({0, 0}), 2s, 6s);
    simulation.add(2s, 30s, 266, job_of({0, 1}), 2s, 6s);
    simulation.run(40s);
    const double overall =
        served_share(simulation, [](const request&) { return true; });
    std::vector<double> shares;
    for (const urgency& rank : {urgency{0, 0}, urgency{0, 1}, urgency{1, 0}})
        shares.push_back(served_share(simulation, [rank](const request& each)
                                      { return each.job.urgency == rank; }));
    CAPTURE(shares[0]);
    CAPTURE(shares[1]);
    CAPTURE(shares[2]);
    CHECK(shares[0] > 0.75);
    CHECK(shares[0] >= shares[1]);
    CHECK(shares[1] >= overall / 4);
    CHECK(shares[2] >= overall / 4);
}

// Load: a burst of one account at twice the capacity, beside ten accounts with
// five requests a second each, all equally urgent.
// Guards against small accounts that are crowded out by a large one.
TEST_CASE("a large account does not crowd out small ones")
{
    overload_simulation simulation;
    simulation.add(0s, 10s, 530, job_of({0, 0}, "large"), 2s, 6s);
    for (int account = 0; account < 10; ++account)
        simulation.add(0s, 10s, 5,
                       job_of({0, 0}, "small" + std::to_string(account)), 2s,
                       6s);
    simulation.run(16s);
    const double large = served_share(simulation, [](const request& each)
                                      { return each.job.account == "large"; });
    const double small = served_share(simulation, [](const request& each)
                                      { return each.job.account != "large"; });
    CHECK(small > 0.9);
    CHECK(large > 0.3);
}

// Load: a burst at twice the capacity; rejected callers return as they were
// told.
// Guards against a second burst of the requests rejected in the first.
TEST_CASE("rejected callers who return are spread out")
{
    overload_simulation simulation;
    simulation.add(0s, 2s, 60, job_of({0, 0}), 2s, 6s);
    simulation.add(2s, 4s, 530, job_of({0, 0}), 2s, 6s);
    simulation.run(10s);
    std::map<std::int64_t, std::size_t> returns; // By step of 100 ms.
    std::size_t count = 0;
    for (const request& each : simulation.requests)
        if (each.rejected)
        {
            ++returns[(*each.rejected + each.retry_in) / 100ms];
            ++count;
        }
    REQUIRE(count > 100);
    for (const auto& [at, requests] : returns)
        CHECK(requests < 53);
}

// Load: a burst at 1.5 times the capacity. In its middle the planning entry
// dies, and another one gets all waiting jobs at once.
// Guards against an entry that rejects what it can't judge yet, and against
// requests that get no outcome.
TEST_CASE("the planning entry is replaced in a burst")
{
    overload_simulation simulation;
    simulation.add(0s, 10s, 400, job_of({0, 0}), 2s, 6s);
    simulation.run(5s);
    simulation.restart_planner();
    simulation.run(5900ms);
    CHECK(simulation
              .select([](const request& each)
                      { return each.rejected && *each.rejected >= 5s; })
              .empty());
    simulation.run(20s);
    const auto served =
        simulation.select([](const request& each) { return each.done; });
    CHECK(served.size() > 0.85 * 266 * 10);
    for (const request& each : simulation.requests)
        CHECK((each.done || each.rejected || each.expired));
}

// Load: jobs of started requests at the capacity of the service, beside jobs of
// unstarted requests that are late when they arrive.
// Guards against late requests that are kept until they expire: what arrives
// for later stages of other requests takes the capacity as well.
TEST_CASE("late jobs can't have the capacity that started requests take")
{
    overload_simulation simulation;
    stage_job started = job_of({0, 1});
    started.is_started = true;
    simulation.add(0s, 20s, 266, started, 3s, 20s);
    simulation.add(3s, 10s, 50, job_of({0, 1}), 0s, 4s);
    simulation.run(30s);
    const auto late = simulation.select([](const request& each)
                                        { return !each.job.is_started; });
    const auto at_once = simulation.select(
        [](const request& each)
        { return each.rejected && *each.rejected - each.arrives <= 50ms; });
    CHECK(share(at_once.size(), late.size()) > 0.8);
}

// Guards against the rejection of all waiting requests because of a
// momentary fault: the calls of seven of eight targets fail, and the targets
// get none for the time of a call.
TEST_CASE("a loss of targets leads to rejections only if it lasts")
{
    call_planner planner(overload_simulation::profile());
    std::map<target_incarnation, std::string> zones;
    for (int target = 0; target < 8; ++target)
        zones["t" + std::to_string(target)] = "a";
    planner.set_targets(zones);
    const instant start{1h};
    for (std::uint64_t number = 1; number <= 400; ++number)
    {
        stage_job job = job_of({0, 0});
        job.number = number;
        job.due = start + 9s;
        job.expires = start + 10s;
        planner.add(job);
    }
    CHECK(planner.take_rejected(start).empty());
    CHECK(planner.take_rejected(start + 2s).empty());
    planner.set_targets({{"t0", "a"}});
    CHECK(planner.take_rejected(start + 2100ms).empty());
    CHECK(planner.take_rejected(start + 2400ms).empty());
    std::size_t rejected = 0;
    for (duration later = 2500ms; later < 5s; later += 20ms)
        rejected += planner.take_rejected(start + later).size();
    CHECK(rejected > 100);
}

// Guards against a 503 "overloaded" for a request whose stages may have run:
// its call is lost, and meanwhile more urgent requests have taken the capacity.
TEST_CASE("a job that was in a call is not rejected")
{
    call_planner planner(overload_simulation::profile());
    planner.set_targets({{"t0", "a"}});
    const instant start{1h};
    const auto add = [&](std::uint64_t number, urgency ranks, instant now)
    {
        stage_job job = job_of(ranks);
        job.number = number;
        job.due = now + 1s;
        job.expires = now + 4s;
        planner.add(job);
    };
    add(1, {0, 1}, start);
    const auto call = planner.next_call(start);
    REQUIRE(call);
    const instant now = start + 2s;
    planner.note_call_failed(*call, false, now - 1s);
    planner.requeue_piece(call->pieces[0]);
    for (std::uint64_t number = 2; number < 400; ++number)
        add(number, {0, 0}, now);
    add(400, {0, 1}, now);
    const auto rejected = planner.take_rejected(now);
    CHECK(planner.find(1) != nullptr);
    CHECK(planner.find(400) == nullptr);
    for (const auto& each : rejected)
        CHECK(each.retry_in > 0s);
}

// Guards against requests that are rejected because of a wait that nobody
// confirms any more: the entry that plans a later service reported it and died.
TEST_CASE("an old report of a later service's wait decays to no wait")
{
    downstream_backlog backlog;
    const instant now{1h};
    backlog.note_wait_times("rerank", {10s, 10s, 300ms}, now);
    CHECK(backlog.work_ahead("rerank", now + 500ms, false) == 9500ms);
    CHECK(backlog.work_ahead("rerank", now + 750ms, false) == 4625ms);
    CHECK(backlog.work_ahead("rerank", now + 1s, false) == 0ms);
    CHECK(backlog.expected_wait("rerank", now + 1s, 0ms, true) == 0ms);
}

// Two entries that plan the same service report different waits in turn.
// Guards against rejections while one of them says that there is capacity: the
// latest report counts, and nothing remains of the one before.
TEST_CASE("of contradictory reports the latest counts")
{
    downstream_backlog backlog;
    const instant now{1h};
    backlog.note_wait_times("rerank", {10s, 10s, 300ms}, now);
    backlog.note_wait_times("rerank", {0s, 0s, 300ms}, now + 10ms);
    CHECK(backlog.work_ahead("rerank", now + 20ms, false) == 0ms);
}

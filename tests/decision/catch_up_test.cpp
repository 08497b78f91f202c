#include "decision/catch_up.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr catch_up::source_state unavailable{false, false};
constexpr catch_up::source_state idle{true, false};
constexpr catch_up::source_state receiving{true, true};

instant at(duration since_start)
{
    return instant(since_start);
}

catch_up catch_up_within_2s()
{
    catch_up sync;
    sync.set_adoption_time(2s);
    return sync;
}

/// Counts the copies requested within \a time_limit while two peers offer newer
/// state at every step. A copy takes \a transfer_time on the one link that all
/// pending copies share; abandoned copies are still transferred.
struct shared_link
{
    int request_count = 0;
    duration up_to_date_at{};

    shared_link(duration transfer_time, duration time_limit)
    {
        catch_up sync = catch_up_within_2s();
        duration owed{};
        for (duration now{}; now < time_limit && up_to_date_at == duration{};
             now += 10ms)
        {
            if (sync.should_request("a", unavailable, at(now)) ||
                sync.should_request("b", unavailable, at(now)))
            {
                ++request_count;
                owed += transfer_time;
            }
            if (owed > 0ms)
            {
                owed -= 10ms;
                sync.note_progress(sync.pending_peer(), at(now));
                if (owed <= 0ms)
                    up_to_date_at = now;
            }
        }
    }
};

} // namespace

// Guards against an entry with a narrow link that falls seconds behind: it
// requested further copies of a large catalog during a transfer, and all of
// them shared the link.
TEST_CASE("no further copy is requested while a transfer makes progress")
{
    for (const duration transfer_time : {100ms, 700ms, 3000ms, 20000ms})
    {
        CAPTURE(transfer_time.count());
        const shared_link link(transfer_time, 60s);
        CHECK(link.request_count == 1);
        CHECK(link.up_to_date_at <= transfer_time);
    }
}

// Guards against waiting for a peer that is gone or unreachable.
TEST_CASE("stalled transfers are replaced by others at growing intervals")
{
    catch_up sync = catch_up_within_2s();
    int requests = 0;
    for (duration now{}; now < 60s; now += 50ms)
        requests += sync.should_request(requests % 2 == 0 ? "a" : "b",
                                        unavailable, at(now));
    // One after half a second, then one per half of the adoption time.
    CHECK(requests >= 59);
    CHECK(requests <= 62);
}

TEST_CASE("the source gets a part of the adoption time before a peer is asked")
{
    catch_up sync = catch_up_within_2s();
    CHECK_FALSE(sync.should_request("a", idle, at(0ms)));
    CHECK_FALSE(sync.should_request("a", idle, at(399ms)));
    CHECK_FALSE(sync.should_request("a", receiving, at(999ms)));
    CHECK(sync.should_request("a", receiving, at(1000ms)));
    catch_up other = catch_up_within_2s();
    CHECK_FALSE(other.should_request("a", idle, at(0ms)));
    CHECK(other.should_request("a", idle, at(400ms)));
}

TEST_CASE("an entry without its source requests a copy at once")
{
    catch_up sync = catch_up_within_2s();
    CHECK(sync.should_request("a", unavailable, at(0ms)));
}

// Guards against a stream of useless copies from a peer whose catalog is
// unreadable, or that does not have the state that it reported.
TEST_CASE(
    "copies that leave the entry behind are requested less and less often")
{
    catch_up sync = catch_up_within_2s();
    int requests = 0;
    for (duration now{}; now < 60s; now += 50ms)
    {
        if (!sync.should_request("a", unavailable, at(now)))
            continue;
        ++requests;
        sync.note_complete("a", at(now));
    }
    CHECK(requests <= 62);
}

// Guards against a configuration that is in force too late after a series of
// link failures: no peer was asked for many seconds although one was reachable
// again.
TEST_CASE("after any number of failed copies the next one is requested in time")
{
    for (const duration adoption_time : {500ms, 2000ms, 16000ms})
    {
        CAPTURE(adoption_time.count());
        catch_up sync;
        sync.set_adoption_time(adoption_time);
        duration now{};
        for (; now < 120s; now += 50ms)
            if (sync.should_request("cut", unavailable, at(now)) &&
                now.count() % 3 == 0)
                sync.note_complete("cut", at(now));
        const duration max_wait = std::max<duration>(adoption_time, 1s);
        duration waited{};
        while (!sync.should_request("whole", unavailable, at(now + waited)))
            waited += 10ms;
        CHECK(waited <= max_wait);
    }
}

TEST_CASE("when a peer becomes unavailable another one is asked at once")
{
    catch_up sync = catch_up_within_2s();
    CHECK(sync.should_request("a", unavailable, at(0ms)));
    sync.note_unavailable("b");
    CHECK_FALSE(sync.should_request("b", unavailable, at(10ms)));
    sync.note_unavailable("a");
    CHECK(sync.should_request("b", unavailable, at(20ms)));
}

TEST_CASE("an entry that was up to date requests its next copy without delay")
{
    catch_up sync = catch_up_within_2s();
    for (duration now{}; now < 30s; now += 50ms)
        sync.should_request("a", unavailable, at(now));
    sync.note_up_to_date();
    CHECK(sync.pending_peer().empty());
    CHECK(sync.should_request("b", unavailable, at(31s)));
}

TEST_CASE("parts from another peer do not keep a stalled transfer alive")
{
    catch_up sync = catch_up_within_2s();
    CHECK(sync.should_request("a", unavailable, at(0ms)));
    sync.note_progress("b", at(400ms));
    sync.note_complete("b", at(400ms));
    CHECK(sync.pending_peer() == "a");
    CHECK(sync.should_request("b", unavailable, at(500ms)));
}

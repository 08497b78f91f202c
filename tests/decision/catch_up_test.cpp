#include "decision/catch_up.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr catch_up::source_state away{false, false};
constexpr catch_up::source_state quiet{true, false};
constexpr catch_up::source_state receiving{true, true};

instant at(duration since_start)
{
    return instant(since_start);
}

catch_up bound_of_2s()
{
    catch_up lacking;
    lacking.set_adoption_time(2s);
    return lacking;
}

/// Returns how often holders are asked within \a most, where each offers what
/// is lacking every 100 ms and a copy of \a need ms comes over one link that
/// all copies under way share; one that is no longer wanted still comes.
struct shared_link
{
    int asked = 0;
    duration level_at{};

    shared_link(duration need, duration most)
    {
        catch_up lacking = bound_of_2s();
        duration owed{};
        for (duration now{}; now < most && level_at == duration{}; now += 10ms)
        {
            if (lacking.should_request("a", away, at(now)) ||
                lacking.should_request("b", away, at(now)))
            {
                ++asked;
                owed += need;
            }
            if (owed > 0ms)
            {
                owed -= 10ms;
                lacking.note_progress(lacking.pending_peer(), at(now));
                if (owed <= 0ms)
                    level_at = now;
            }
        }
    }
};

} // namespace

// An entry with a narrow link is seconds behind: copies of a large catalog
// are asked for while one is under way, and all of them share the link.
TEST_CASE("while parts of a copy come no other copy is asked for")
{
    for (const duration need : {100ms, 700ms, 3000ms, 20000ms})
    {
        CAPTURE(need.count());
        const shared_link link(need, 60s);
        CHECK(link.asked == 1);
        CHECK(link.level_at <= need);
    }
}

// The holder is gone or its way is cut: nothing of the copy comes.
TEST_CASE("another holder is asked when nothing comes, less and less often")
{
    catch_up lacking = bound_of_2s();
    int asked = 0;
    for (duration now{}; now < 60s; now += 50ms)
        asked +=
            lacking.should_request(asked % 2 == 0 ? "a" : "b", away, at(now));
    // Half a second, and then half of the bound each.
    CHECK(asked >= 59);
    CHECK(asked <= 62);
}

TEST_CASE("what the source brings is left to it for a part of the bound")
{
    catch_up lacking = bound_of_2s();
    CHECK_FALSE(lacking.should_request("a", quiet, at(0ms)));
    CHECK_FALSE(lacking.should_request("a", quiet, at(399ms)));
    CHECK_FALSE(lacking.should_request("a", receiving, at(999ms)));
    CHECK(lacking.should_request("a", receiving, at(1000ms)));
    catch_up other = bound_of_2s();
    CHECK_FALSE(other.should_request("a", quiet, at(0ms)));
    CHECK(other.should_request("a", quiet, at(400ms)));
}

TEST_CASE("an entry without its source asks at once")
{
    catch_up lacking = bound_of_2s();
    CHECK(lacking.should_request("a", away, at(0ms)));
}

// A holder's catalog cannot be read, or it never has what it said.
TEST_CASE("copies that even nothing out are asked for less and less often")
{
    catch_up lacking = bound_of_2s();
    int asked = 0;
    for (duration now{}; now < 60s; now += 50ms)
    {
        if (!lacking.should_request("a", away, at(now)))
            continue;
        ++asked;
        lacking.note_complete("a", at(now));
    }
    CHECK(asked <= 62);
}

// A configuration is in force too late after a series of cuts: nobody is
// asked for many seconds though a way is whole again.
TEST_CASE("after any series of copies in vain one is asked for in time")
{
    for (const duration bound : {500ms, 2000ms, 16000ms})
    {
        CAPTURE(bound.count());
        catch_up lacking;
        lacking.set_adoption_time(bound);
        duration now{};
        for (; now < 120s; now += 50ms)
            if (lacking.should_request("cut", away, at(now)) &&
                now.count() % 3 == 0)
                lacking.note_complete("cut", at(now));
        const duration most = std::max<duration>(bound, 1s);
        duration waited{};
        while (!lacking.should_request("whole", away, at(now + waited)))
            waited += 10ms;
        CHECK(waited <= most);
    }
}

TEST_CASE("when a holder is lost another one is asked at once")
{
    catch_up lacking = bound_of_2s();
    CHECK(lacking.should_request("a", away, at(0ms)));
    lacking.note_unavailable("b");
    CHECK_FALSE(lacking.should_request("b", away, at(10ms)));
    lacking.note_unavailable("a");
    CHECK(lacking.should_request("b", away, at(20ms)));
}

TEST_CASE("once level the next difference is evened out without delay")
{
    catch_up lacking = bound_of_2s();
    for (duration now{}; now < 30s; now += 50ms)
        lacking.should_request("a", away, at(now));
    lacking.note_up_to_date();
    CHECK(lacking.pending_peer().empty());
    CHECK(lacking.should_request("b", away, at(31s)));
}

TEST_CASE("what comes from somebody else does not keep a stalled copy alive")
{
    catch_up lacking = bound_of_2s();
    CHECK(lacking.should_request("a", away, at(0ms)));
    lacking.note_progress("b", at(400ms));
    lacking.note_complete("b", at(400ms));
    CHECK(lacking.pending_peer() == "a");
    CHECK(lacking.should_request("b", away, at(500ms)));
}

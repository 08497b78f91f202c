#include "decision/drain.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr instant start{1h};
constexpr duration grace = 8s;
constexpr int answers = 2;
constexpr drain::request_time stream{2s, 3s};
constexpr drain::request_time lookup{50ms, 200ms};

drain noticed_after(duration time)
{
    drain one(start, grace, answers);
    one.note_unready_told(start + time / 2);
    one.note_unready_told(start + time);
    return one;
}

} // namespace

// Guards against refusing callers whom the balancer sends here once more.
TEST_CASE("a stopping entry takes all requests until the balancer has noticed")
{
    drain one(start, grace, answers);
    CHECK(one.takes(start + 1s, stream, true));
    one.note_unready_told(start + 1s);
    CHECK(one.takes(start + 1500ms, stream, true));
    one.note_unready_told(start + 1900ms);
    CHECK(one.takes(start + 2s, stream, true));
    CHECK_FALSE(one.takes(start + 2200ms, stream, true));
}

// Guards against waiting for ever on a balancer that does not ask.
TEST_CASE("a balancer that does not ask has noticed after its longest time")
{
    const drain one(start, grace, answers);
    CHECK(one.takes(start + 2400ms, stream, true));
    CHECK_FALSE(one.takes(start + 2500ms, stream, true));
    CHECK(one.may_end(start + 2500ms, true));
}

// Guards against a fleet that is restarted as a whole and refuses everything
// until its first entries are back.
TEST_CASE("where no other entry runs, a stopping one takes what it can end")
{
    const drain one = noticed_after(1s);
    CHECK(one.takes(start + 4s, stream, false));
    CHECK_FALSE(one.takes(start + 4s, stream, true));
    CHECK_FALSE(one.takes(start + 5s, stream, false));
    CHECK(one.takes(start + 7s, lookup, true));
    CHECK_FALSE(one.takes(start + 7600ms, lookup, false));
    CHECK(one.takes(start + 2400ms, stream, false));
    CHECK_FALSE(one.takes(start + 2400ms, stream, true));
}

// Guards against an instance that stays away longer than its work takes.
TEST_CASE("a stopping entry ends once it is noticed and has nothing to do")
{
    const drain one = noticed_after(1s);
    CHECK_FALSE(one.may_end(start + 1100ms, true));
    CHECK(one.may_end(start + 1200ms, true));
    CHECK_FALSE(one.may_end(start + 5s, false));
    CHECK(one.may_end(start + 7700ms, false));
}

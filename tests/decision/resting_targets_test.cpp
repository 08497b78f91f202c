#include "decision/resting_targets.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start = instant{} + 100s;

} // namespace

TEST_CASE("a target rests as long as it asked for")
{
    resting_targets targets;
    CHECK(targets.note_rest({"t", 1}, 3s, start));
    CHECK(targets.rests_until({"t", 1}, start) == start + 3s);
    CHECK(targets.rests_until({"t", 1}, start + 4s) == start + 4s);
    CHECK(targets.rests_until({"t", 2}, start) == start);
    targets.expire(start + 2s);
    CHECK(targets.has_any());
    targets.expire(start + 3s);
    CHECK_FALSE(targets.has_any());
}

// Guards against a rest that is cut short by a response that was overtaken.
TEST_CASE("a shorter rest does not end a longer one")
{
    resting_targets targets;
    targets.note_rest("t", 5s, start);
    CHECK_FALSE(targets.note_rest("t", 1s, start + 1s));
    CHECK(targets.rests_until("t", start + 1s) == start + 5s);
    CHECK_FALSE(targets.note_rest("t", 5s, start + 2s));
    CHECK(targets.rests_until("t", start + 2s) == start + 7s);
}

// Guards against a target that is lost for good because of one absurd value.
TEST_CASE("a rest is limited, and none is no rest")
{
    resting_targets targets;
    CHECK_FALSE(targets.note_rest("t", 0s, start));
    targets.note_rest("t", 24h * 365, start);
    CHECK(targets.rests_until("t", start) <= start + 10min);
}

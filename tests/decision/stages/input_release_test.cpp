#include "decision/stages/input_release.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start{1h};
const target_incarnation engine("e1", 5);

} // namespace

TEST_CASE("inputs are released early for an engine with free slots")
{
    input_release release;
    CHECK_FALSE(release.may_release_early(engine, start));
    release.note_load(engine, {3, 0, 8, {}}, start);
    CHECK(release.may_release_early(engine, start + 1s));
    CHECK_FALSE(release.may_release_early({"e1", 6}, start));
    release.note_load(engine, {7, 0, 8, {}}, start);
    CHECK_FALSE(release.may_release_early(engine, start));
    release.note_load(engine, {3, 1, 8, {}}, start);
    CHECK_FALSE(release.may_release_early(engine, start));
    // A wrong statement must not overflow.
    release.note_load(engine, {0xffffffff, 0, 8, {}}, start);
    CHECK_FALSE(release.may_release_early(engine, start));
}

// Guards against inputs that are gone when an engine that was idle a while ago
// gets to the request.
TEST_CASE("an old statement releases nothing early")
{
    input_release release;
    release.note_load(engine, {0, 0, 8, {}}, start);
    CHECK_FALSE(release.may_release_early(engine, start + 1001ms));
}

// Guards against stages that run again and again for an engine that fetches
// later than expected.
TEST_CASE("an engine that found inputs gone gets no early release again")
{
    input_release release;
    release.note_load(engine, {0, 0, 8, {}}, start);
    release.note_inputs_lost(engine);
    release.note_load(engine, {0, 0, 8, {}}, start);
    CHECK_FALSE(release.may_release_early(engine, start));
}

TEST_CASE("the time to fetch inputs has a fixed part and four transfers")
{
    CHECK(input_release::fetch_time(0, 1e9) == 40ms);
    CHECK(input_release::fetch_time(1000000, 1e8) == 80ms);
    CHECK(input_release::fetch_time(1, 0) == 4s + 40ms);
    CHECK(input_release::fetch_time(~std::uint64_t{0}, 0) == 1h + 40ms);
}

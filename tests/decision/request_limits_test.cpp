#include "decision/request_limits.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start = instant{} + 100s;

} // namespace

TEST_CASE("a limit lasts until the target responds without it")
{
    request_limits limits;
    CHECK_FALSE(limits.note_response("t", std::nullopt, start, start));
    CHECK(limits.note_response("t", 2.5, start, start));
    CHECK_FALSE(limits.note_response("t", 2.5, start, start + 1s));
    CHECK(limits.limit_of("t") == 2.5);
    CHECK(limits.note_response("t", 1, start + 1s, start + 2s));
    CHECK(limits.note_response("t", std::nullopt, start + 3s, start + 4s));
    CHECK(limits.limit_of("t") == std::nullopt);
    CHECK_FALSE(limits.has_any());
}

// Guards against a limit that is dropped because of a response that the target
// generated before it stated the limit.
TEST_CASE("a response to an earlier request does not end a limit")
{
    request_limits limits;
    limits.note_response("t", 1, start, start + 1s);
    CHECK_FALSE(
        limits.note_response("t", std::nullopt, start + 500ms, start + 2s));
    CHECK(limits.limit_of("t") == 1);
}

TEST_CASE("a limit belongs to one incarnation of a target")
{
    request_limits limits;
    limits.note_response({"t", 1}, 1, start, start);
    CHECK(limits.limit_of({"t", 2}) == std::nullopt);
}

TEST_CASE("limits of targets that are gone are removed")
{
    target_directory targets;
    targets.set_source_available(true, start);
    targets.note({"t", "s", "a:1", "z", 1, false, 1});
    request_limits limits;
    limits.note_response("t", 1, start, start);
    limits.note_response("gone", 1, start, start);
    limits.retain(targets);
    CHECK(limits.size() == 1);
    CHECK(limits.limit_of("t") == 1);
}

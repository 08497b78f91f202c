#include "support/staged_entry.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;

// Guards against streams that wait for a silent engine until their callers give
// them up, while another engine of their version serves.
TEST_CASE("a stream in progress goes on when its engine falls silent")
{
    for (const bool is_taken_up : {true, false})
    {
        staged_entry entry;
        entry.add_silent_engine(is_taken_up ? "" : event(2));
        entry.add_engine("v1", "b");
        const auto connection = entry.request(is_taken_up ? resumes_r1 : "");
        entry.run_until(
            [&]
            {
                entry.time.advance(1ms);
                return contains(connection->received, "data: v1") ||
                       entry.silent_requests() > 0;
            });
        REQUIRE(entry.silent_requests() == 1);
        const auto began_at = entry.time.now();
        const std::string answer = entry.answer_to(*connection);
        CHECK(contains(answer, "id: 3"));
        CHECK(contains(answer, completed));
        CHECK(entry.time.now() - began_at < 1500ms);
    }
}

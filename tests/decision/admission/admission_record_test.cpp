#include "decision/admission/admission_record.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

const instant start{1h};

stage_job job_of_rank(std::uint32_t rank)
{
    stage_job result;
    result.urgency = {0, rank};
    return result;
}

} // namespace

TEST_CASE("arrivals in time reduce the share that is left, for a second")
{
    admission_record record;
    record.note_work_on_time("a", {0, 1}, 400ms, start);
    record.note_work_on_time("a", {0, 2}, 300ms, start);
    record.note_work_on_time("b", {0, 2}, 3s, start);
    CHECK(record.spare_share("a", start) == doctest::Approx(0.3));
    CHECK(record.spare_share("a", {0, 1}, start) == doctest::Approx(0.6));
    CHECK(record.spare_share("a", {0, 0}, start) == doctest::Approx(1));
    CHECK(record.spare_share("b", start) == admission_record::min_spare_share);
    CHECK(record.spare_share("a", start + 1100ms) == 1);
}

// Guards against a rank that gets nothing for as long as a burst of a more
// urgent one lasts.
TEST_CASE("a rank is starved below a quarter of the overall share")
{
    admission_record record;
    for (int job = 0; job < 80; ++job)
    {
        record.note_arrival(job_of_rank(0), start);
        record.note_start(job_of_rank(0), start);
    }
    for (int job = 0; job < 20; ++job)
        record.note_arrival(job_of_rank(1), start);
    for (int started = 0; started < 5; ++started)
    {
        const auto starved = record.starved_ranks(start);
        REQUIRE(starved.size() == 1);
        CHECK(starved.begin()->first == urgency{0, 1});
        CHECK(starved.begin()->second <= 5);
        record.note_start(job_of_rank(1), start);
    }
    CHECK(record.starved_ranks(start).empty());
    CHECK(record.starved_ranks(start + 11s).empty());
}

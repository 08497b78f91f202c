#include "serving/peer_messages.hpp"
#include "serving/stream_messages.hpp"

#include <doctest/doctest.h>

#include <limits>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

const instant start{1h};

decision::stage_job make_job()
{
    decision::stage_job job;
    job.request = "r1";
    job.urgency = {1, 2};
    job.account = "customer";
    job.is_returning = true;
    job.continues_stream = true;
    job.accepts_rejection = true;
    job.due = start + 1s;
    job.expires = start + 2s;
    return job;
}

} // namespace

TEST_CASE("a job keeps what decides its admission on its way to another entry")
{
    const peer::Frame frame = job_frame("rerank", make_job(), start);
    CHECK(read_job(frame.job(), start) == make_job());
}

// Guards against jobs of an entry of the version before that go before all
// others: it sends a delay instead of ranks.
TEST_CASE("the ranks of an older entry's job are derived from its delay")
{
    peer::Frame frame = job_frame("rerank", make_job(), start);
    CHECK(frame.job().yields_ns() == (1300ms / 1ns));
    frame.mutable_job()->clear_account_rank();
    frame.mutable_job()->clear_route_rank();
    frame.mutable_job()->clear_accepts_rejection();
    frame.mutable_job()->set_yields_ns(800ms / 1ns);
    const decision::stage_job job = read_job(frame.job(), start);
    CHECK(job.urgency == decision::urgency{0, 2});
    CHECK_FALSE(job.accepts_rejection);
    frame.mutable_job()->set_yields_ns(-1);
    CHECK(read_job(frame.job(), start).urgency == decision::urgency{0, 0});
}

TEST_CASE("a rejection says when there will be capacity")
{
    const job_outcome rejected{
        decision::job_status::rejected, {}, false, 700ms};
    const peer::Frame frame = job_end_frame(7, rejected);
    CHECK(read_outcome(frame.job_end()) == rejected);
}

// Guards against a status of a later version that is taken for another one, and
// against a negative delay.
TEST_CASE("an unknown way to end counts as failed")
{
    peer::JobEnd message;
    message.set_end(99);
    message.set_retry_in_ns(-5);
    CHECK(read_outcome(message) ==
          job_outcome{decision::job_status::failed, {}, false, 0ms});
}

// Guards against overflowing sums and memory for billions of pieces, because
// another entry sends absurd values.
TEST_CASE("absurd values of other entries are bounded")
{
    constexpr std::int64_t most = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t least = std::numeric_limits<std::int64_t>::min();
    peer::Frame frame = job_frame("rerank", make_job(), start);
    frame.mutable_job()->set_pieces(~0U);
    frame.mutable_job()->set_due_in_ns(least);
    frame.mutable_job()->set_expires_in_ns(most);
    peer::LaterPieces& later = *frame.mutable_job()->add_later();
    later.set_pieces(~0U);
    const decision::stage_job job = read_job(frame.job(), start);
    CHECK(job.pieces == 10'000);
    CHECK(job.due == start - 1h);
    CHECK(job.expires == start + 1h);
    CHECK(job.downstream.at(0).pieces == 10'000);
    peer::Backlog backlog;
    backlog.set_wait_ns(most);
    backlog.set_in_time_ns(least);
    backlog.set_time_per_piece_ns(-5);
    const decision::service_wait_times times = read_wait_times(backlog);
    CHECK(times.late == 1h);
    CHECK(times.on_time == 0s);
    CHECK(times.time_per_piece == 0s);
}

TEST_CASE("the record of a stream keeps its origin on the way")
{
    const decision::stream_key key{3, 4};
    const decision::origin_records::record known{
        {"chat", "v1"}, start - 2s, start + 9s, true};
    peer::StreamOrigin message;
    write_stream_origin(key, known, start, message);
    CHECK(read_stream_key(message) == key);
    CHECK(read_stream_origin(message, start) == known);
}

// Guards against memory that another entry fills, and records that never end.
TEST_CASE("unusable records of streams are dropped or bounded")
{
    peer::StreamOrigin message;
    message.set_service("chat");
    CHECK_FALSE(read_stream_origin(message, start));
    message.set_version("v1");
    message.set_expires_in_ns(std::numeric_limits<std::int64_t>::max());
    message.set_began_ago_ns(std::numeric_limits<std::int64_t>::min());
    const auto known = read_stream_origin(message, start);
    REQUIRE(known);
    CHECK(known->expires_at == start + 10min);
    CHECK(known->began_at == start);
    message.set_version(std::string(1000, 'v'));
    CHECK_FALSE(read_stream_origin(message, start));
}

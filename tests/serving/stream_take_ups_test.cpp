#include "support/starting_entry.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;

// Guards against streams that are refused at an entry that has just started,
// while new ones begin: targets of another version are listed first.
TEST_CASE("a stream waits for its version while the list of targets arrives")
{
    starting_entry entry;
    entry.add_engine("v2");
    entry.record({"events", "v1"});
    const auto connection = entry.take_up();
    CHECK(connection->received.empty());
    entry.add_engine("v1");
    CHECK(contains(entry.answer_to(*connection), "data: v1"));
}

// Guards against a caller that waits in vain: the whole list is there.
TEST_CASE("a stream does not wait for a version that no target has")
{
    starting_entry entry;
    entry.add_engine("v2");
    entry.record({"events", "v1"});
    const auto connection = entry.take_up();
    entry.context->has_all_targets = true;
    const auto before = entry.time.now();
    CHECK(contains(entry.answer_to(*connection), "version_gone"));
    CHECK(entry.time.now() - before < 50ms);
}

// Guards against a caller that waits until its time is over: the store does not
// answer.
TEST_CASE("a stream waits for its version half a second at most")
{
    starting_entry entry;
    entry.add_engine("v2");
    entry.record({"events", "v1"});
    const auto before = entry.time.now();
    const auto connection = entry.take_up();
    CHECK(contains(entry.answer_to(*connection), "version_gone"));
    CHECK(entry.time.now() - before < 550ms);
}

// Guards against streams that are refused although their record is kept: the
// keeper was listed last, later than a known one may take to answer.
TEST_CASE("a record keeper that becomes known late is asked for its record")
{
    const runtime::paused_clock time;
    serving::record_keeper keeper(time, 1);
    {
        starting_entry lost;
        lost.keeper = &keeper;
        lost.record({"events", "v1"});
    }
    starting_entry entry;
    entry.add_engine("v2");
    entry.add_engine("v1");
    const auto listed_at = entry.time.now() + 200ms;
    const auto connection = entry.take_up();
    entry.run_until(
        [&]
        {
            entry.time.advance(1ms);
            return entry.time.now() >= listed_at;
        });
    CHECK(connection->received.empty());
    entry.keeper = &keeper;
    entry.context->has_all_targets = true;
    CHECK(contains(entry.answer_to(*connection), "data: v1"));
}

// Guards against streams that end unseen: the share that went on is not known,
// nor why the others were refused.
TEST_CASE("requests that take up a stream are counted by how they ended")
{
    starting_entry entry;
    entry.context->has_all_targets = true;
    const auto count = [&entry](const char* outcome)
    {
        return entry.context->metrics
            .count(
                {"streams_taken_up_ended", runtime::label("outcome", outcome)})
            .load();
    };
    entry.add_engine("v2");
    entry.answer_to(*entry.take_up());
    CHECK(count("stream_unknown") == 1);
    entry.record({"events", "v1"});
    entry.answer_to(*entry.take_up());
    CHECK(count("version_gone") == 1);
    entry.add_engine("v1");
    entry.answer_to(*entry.take_up());
    CHECK(count("went_on") == 1);
    const auto connection = entry.connect();
    entry.send(*connection, request_text("/events/r3", "r3"));
    entry.answer_to(*connection);
    CHECK(count("went_on") == 1);
    CHECK(count("answered") == 0);
}

// Guards against requests without an outcome: the process ends, or the caller
// leaves, while they wait for stages.
TEST_CASE(
    "requests that take up a stream and wait are counted once as they end")
{
    starting_entry entry;
    entry.add_engine("v1");
    entry.context->has_all_targets = true;
    entry.streams.record(
        decision::make_stream_key("club", "h", "/staged/r1", "r1"),
        {"events", "v1"}, 5s);
    const auto count = [&entry](const char* outcome)
    {
        return entry.context->metrics
            .count(
                {"streams_taken_up_ended", runtime::label("outcome", outcome)})
            .load();
    };
    const auto left = entry.connect();
    entry.send(*left,
               request_text("/staged/r1", "r2", resumes_r1 + "Pieces: 11\r\n"));
    entry.run_until([&] { return entry.jobs.size() == 1; });
    left->socket.close();
    entry.run_until(
        [&]
        {
            entry.time.advance(1ms);
            return count("caller_left") == 1;
        });
    const auto cut = entry.connect();
    entry.send(*cut,
               request_text("/staged/r1", "r3", resumes_r1 + "Pieces: 11\r\n"));
    entry.run_until([&] { return entry.jobs.size() == 2; });
    entry.server->log_cut_answers();
    CHECK(count("cut") == 1);
    cut->socket.close();
    entry.settle();
    CHECK(count("caller_left") == 1);
    CHECK(count("cut") == 1);
}

// Guards against a caller who has part of a stream and competes for the stages
// as one who has nothing: an entry that has just started knows no caller.
TEST_CASE("the stages of a stream that is taken up are those of a return")
{
    starting_entry entry;
    entry.add_engine("v1");
    entry.context->has_all_targets = true;
    entry.streams.record(
        decision::make_stream_key("club", "h", "/staged/r1", "r1"),
        {"events", "v1"}, 5s);
    const auto taken_up = entry.connect();
    entry.send(*taken_up,
               request_text("/staged/r1", "r2", resumes_r1 + "Pieces: 11\r\n"));
    const auto begun = entry.connect();
    entry.send(*begun, request_text("/staged/r3", "r3", "Pieces: 11\r\n"));
    entry.run_until([&] { return entry.jobs.size() == 2; });
    for (const decision::stage_job& job : entry.jobs)
    {
        CHECK(job.is_returning == (job.request == "r2"));
        CHECK(job.continues_stream == (job.request == "r2"));
    }
}

// Guards against streams that are late as soon as they are taken up, and are
// refused beside free capacity: their callers have spent time on the events.
TEST_CASE("the stages of a stream that is taken up are due from its return on")
{
    starting_entry entry;
    entry.add_engine("v1");
    entry.context->has_all_targets = true;
    entry.streams.record(
        decision::make_stream_key("club", "h", "/staged/r1", "r1"),
        {"events", "v1"}, 5s);
    const std::string pieces = "Pieces: 11\r\n";
    const auto begun = entry.connect();
    entry.send(*begun,
               request_text("/staged/r3", "r3", "Budget: 5000\r\n" + pieces));
    entry.run_until([&] { return entry.jobs.size() == 1; });
    const auto taken_up = entry.connect();
    entry.send(*taken_up,
               request_text("/staged/r1", "r2",
                            "Budget: 2000\r\n" + resumes_r1 + pieces));
    entry.run_until([&] { return entry.jobs.size() == 2; });
    CHECK(entry.jobs[1].due >= entry.jobs[0].due);
}

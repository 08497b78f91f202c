#include "decision/request_content.hpp"
#include "serving/stream_registry.hpp"
#include "support/complete_responses.hpp"
#include "support/log_text.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <stdexcept>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

using connection_action = scripted_target::response::connection_action;

/// What a request waits for.
enum class waits_for : std::uint8_t
{
    catalog,
    record,
    quarantine,
    stages,
    target,
    head,
    events
};

constexpr std::array all_waits{waits_for::catalog,    waits_for::record,
                               waits_for::quarantine, waits_for::stages,
                               waits_for::target,     waits_for::head,
                               waits_for::events};

scripted_target::response part_of_stream(const std::string& request,
                                         std::size_t)
{
    return {"HTTP/1.1 200 OK\r\nId: " + request_id_of(request) +
                "\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                "f\r\nid: 3\ndata: e\n\n\r\n",
            connection_action::hang};
}

scripted_target::response no_answer(const std::string&, std::size_t)
{
    return {"", connection_action::hang};
}

/// An entry beside another one that does not answer.
class entry_of_two : public serving_fixture, public serving::stream_channel
{
public:
    entry_of_two()
    {
        context->streams = &streams;
        context->has_all_targets = true;
    }

    std::vector<std::string> stream_keepers() const override { return {"e1"}; }
    bool is_fleet_known() const override { return true; }
    void send(const std::string&, const peer::Frame&) override
    {
        if (fails_to_send)
            throw std::runtime_error("send");
    }
    using serving_fixture::send;

    void execute(const std::string& service, decision::stage_job job,
                 serving::pending_job_ptr pending) override
    {
        if (fails_to_execute)
            throw std::runtime_error("execute");
        serving_fixture::execute(service, std::move(job), std::move(pending));
    }

    /// Has this entry hold the requests to \a path for half a second.
    void hold_requests(const std::string& path)
    {
        held = decision::digest_of(
            decision::request_content{"club", "GET", "h", path, {}});
        context->ordinal_for = [](const std::string&) {
            return decision::ordinal{0, 2};
        };
        for (std::uint64_t number = 0; number < 3; ++number)
            context->quarantine.crashes().note(
                {held,
                 {"gone" + std::to_string(number), number},
                 time.now(),
                 time.now()},
                time.now());
    }

    /// Sends the request "r1", which then waits for \a what.
    std::shared_ptr<caller> begin(waits_for what)
    {
        auto from = connect();
        if (what == waits_for::catalog)
        {
            context->catalog.reset();
            context->startup_wait_end = time.now() + 500ms;
        }
        else if (what == waits_for::quarantine)
            hold_requests("/staged/r1");
        else if (what == waits_for::target)
        {
            add_target("events", part_of_stream);
            context->peak_entries = 12; // One request a second from each.
            context->cold_targets.note_cold("t1", 10s, time.now());
            context->cold_targets.note_sent("t1", {3s, 16}, 12, time.now());
        }
        else if (what == waits_for::events)
            add_target("events", part_of_stream);
        else
            add_target("events", no_answer);
        const bool has_stages =
            what == waits_for::stages || what == waits_for::quarantine;
        const std::string path = has_stages ? "/staged/r1" : "/events/r1";
        send(*from, request_text(path, "r1",
                                 what == waits_for::record
                                     ? "After: 2\r\nResumes: r0\r\n"
                                 : has_stages ? "Pieces: 11\r\n"
                                              : ""));
        settle();
        REQUIRE(server->requests_in_progress() == 1);
        REQUIRE(jobs.empty() == (what != waits_for::stages));
        REQUIRE(contains(from->received, "data: e") ==
                (what == waits_for::events));
        return from;
    }

    void pass(decision::duration span)
    {
        for (decision::duration passed{}; passed < span; passed += 10ms)
        {
            time.advance(10ms);
            loop.run_for(1ms);
        }
    }

    /// Checks that nothing is left of the requests that were begun.
    void check_nothing_held()
    {
        CHECK(server->requests_in_progress() == 0);
        CHECK(context->bodies.account().taken() == 0);
        CHECK(context->generations.size() == 0);
        CHECK(context->target_health.in_flight("t1") == 0);
        CHECK(batcher->job_count() == 0);
    }

    serving::stream_registry streams{*context, *this};
    decision::digest held; ///< Of the content that is held.
    bool fails_to_send = false;
    bool fails_to_execute = false;
};

/// Closes the connection \a from in order, or resets it.
void leave(serving_fixture::caller& from, bool resets)
{
    if (resets)
    {
        from.socket.set_option(serving::asio::socket_base::linger(true, 0));
        from.socket.close();
    }
    else
        from.socket.shutdown(serving::tcp::socket::shutdown_both);
}

/// Returns the names of the last lines in \a log of the request \a id.
std::vector<std::string> last_lines(const log_text& log, const std::string& id)
{
    std::vector<std::string> names;
    std::istringstream lines(log.text());
    for (std::string line; std::getline(lines, line);)
        if (contains(line, "\"request\":\"" + id + "\""))
            for (const std::string name :
                 {"request_answered", "request_refused", "request_left",
                  "request_failed", "answer_cut"})
                if (contains(line, "\"event\":\"" + name + "\""))
                    names.push_back(name);
    return names;
}

using names = std::vector<std::string>;

/// How long work for a caller who has left may go on.
constexpr decision::duration end_of_work = 500ms;

} // namespace

// Guards against requests that end without a line, or never end: their callers
// left while the requests waited.
TEST_CASE("a request whose caller leaves ends with one line")
{
    for (const waits_for what : all_waits)
        for (const bool resets : {false, true})
        {
            CAPTURE(static_cast<int>(what));
            CAPTURE(resets);
            const log_text log;
            entry_of_two entry;
            const auto from = entry.begin(what);
            leave(*from, resets);
            entry.pass(end_of_work);
            // A caller that only closed its side gets a quick answer.
            const bool is_answered = what == waits_for::record && !resets;
            const names expected{is_answered ? "request_refused"
                                             : "request_left"};
            CHECK(last_lines(log, "r1") == expected);
            entry.check_nothing_held();
            CHECK(entry.server->connections() == 0);
            entry.pass(5s);
            CHECK(last_lines(log, "r1") == expected);
        }
}

// Guards against requests that end without a line, or with two: the end of the
// process cuts them.
TEST_CASE("a request that the exit cuts ends with one line")
{
    for (const waits_for what : all_waits)
    {
        CAPTURE(static_cast<int>(what));
        const log_text log;
        entry_of_two entry;
        const auto from = entry.begin(what);
        entry.context->drain.emplace(entry.time.now(), 8s, 2);
        entry.server->log_cut_answers();
        entry.server->log_cut_answers();
        CHECK(last_lines(log, "r1") == names{"answer_cut"});
    }
}

// Guards against requests of a stopping entry that end without a line, or with
// two: they are refused shortly before the exit.
TEST_CASE("a request that is refused before the exit ends with one line")
{
    for (const waits_for what : all_waits)
    {
        CAPTURE(static_cast<int>(what));
        const log_text log;
        entry_of_two entry;
        const auto from = entry.begin(what);
        entry.context->drain.emplace(entry.time.now(), 8s, 2);
        entry.server->reject_unsent();
        entry.pass(200ms);
        entry.server->log_cut_answers();
        CHECK(last_lines(log, "r1").size() == 1);
    }
}

// Guards against requests that end without a line: those that are answered, and
// those whose body is not read.
TEST_CASE("a request that is answered or refused ends with one line")
{
    const log_text log;
    entry_of_two entry;
    entry.add_target("plain", complete_response);
    entry.send_and_receive(request_text("/once/", "r1"));
    entry.send_and_receive(request_text("/nowhere/", "r2"));
    entry.send_and_receive("POST /once/ HTTP/1.1\r\nHost: h\r\nKey: bad\r\n"
                           "Id: r3\r\nContent-Length: 4000000\r\n\r\n");
    entry.send_and_receive(request_text("/staged/", "r4", "Budget: 1\r\n"));
    CHECK(last_lines(log, "r1") == names{"request_answered"});
    CHECK(last_lines(log, "r2") == names{"request_refused"});
    CHECK(last_lines(log, "r3") == names{"request_refused"});
    CHECK(last_lines(log, "r4") == names{"request_refused"});
    entry.check_nothing_held();
}

// Guards against places and memory that are never given back: an exception ends
// the exchange in the middle of an attempt, or of the stages.
TEST_CASE("a request that ends by an exception ends with one line")
{
    for (const bool in_stages : {false, true})
    {
        CAPTURE(in_stages);
        const log_text log;
        entry_of_two entry;
        entry.fails_to_send = !in_stages;
        entry.fails_to_execute = in_stages;
        entry.add_target("events", part_of_stream);
        const auto from = entry.connect();
        entry.send(*from,
                   request_text(in_stages ? "/staged/r1" : "/events/r1", "r1",
                                in_stages ? "Pieces: 11\r\n" : ""));
        entry.settle();
        CHECK(from->is_ended);
        CHECK(last_lines(log, "r1") == names{"request_failed"});
        entry.check_nothing_held();
    }
}

// Guards against stages that are made for a caller who has left: it left while
// the request was held, and the hold ended before it was noticed.
TEST_CASE("no stages begin for a caller who left while the request was held")
{
    const log_text log;
    entry_of_two entry;
    const auto from = entry.begin(waits_for::quarantine);
    leave(*from, true);
    entry.settle();
    entry.context->quarantine.crashes().note_completed(entry.held);
    entry.pass(100ms);
    CHECK(entry.jobs.empty());
    CHECK(last_lines(log, "r1") == names{"request_left"});
    entry.check_nothing_held();
}

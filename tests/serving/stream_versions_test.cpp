#include "support/complete_responses.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;
using action = scripted_target::response::connection_action;

namespace
{

constexpr std::size_t event_count = 4;
const std::string last_chunk = "0\r\n\r\n";

std::string chunk(const std::string& bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

std::string event(std::size_t id, const std::string& data)
{
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

/// Returns the head of a streamed response to \a request.
std::string stream_head(const std::string& request)
{
    return "HTTP/1.1 200 OK\r\nId: " + request_id_of(request) +
           "\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// Returns the id after which \a request resumes a stream; 0 for a new stream.
std::size_t resumed_after(const std::string& request)
{
    const std::size_t at = request.find("After: ");
    return at == std::string::npos ? 0 : std::stoul(request.substr(at + 7));
}

/// An entry whose engines stream events that name the engine's version.
struct versioned_entry : serving_fixture
{
    /// Adds an engine that completes resumed streams. In new ones it does
    /// \a after_two after two events.
    scripted_target& add_engine(const std::string& version,
                                action after_two = action::reset)
    {
        return add_target(
            "events",
            [version, after_two](const std::string& request, std::size_t)
            {
                const std::size_t after = resumed_after(request);
                const bool is_broken = after == 0;
                std::string bytes = stream_head(request);
                for (std::size_t id = after + 1;
                     id <= (is_broken ? 2 : event_count); ++id)
                    bytes += chunk(event(id, version));
                if (!is_broken)
                    bytes += last_chunk;
                return scripted_target::response{
                    bytes, is_broken ? after_two : action::keep};
            },
            "a", version);
    }

    /// Begins the stream of the request "r1" at the only engine, and breaks the
    /// caller's connection after two events.
    void begin_stream()
    {
        const auto connection = connect();
        send(*connection, request_text("/events/r1", "r1"));
        run_until([&] { return contains(connection->received, "id: 2"); });
        connection->socket.close();
        settle();
    }

    /// Sends the request \a id for a stream and returns the response, which may
    /// be a refusal. Paths differ, or crashes would quarantine the request.
    std::string stream(const std::string& id, const std::string& headers = {})
    {
        const auto connection = connect();
        send(*connection, request_text("/events/" + id, id, headers));
        run_until(
            [&]
            {
                time.advance(1ms); // Engines that crashed are cold for a while.
                const std::string& received = connection->received;
                return connection->is_ended || contains(received, last_chunk) ||
                       contains(received, "{\"error\"");
            });
        settle();
        return connection->received;
    }
};

/// Headers of a request that takes up the stream of the request "r1".
const std::string resumes_r1 = "After: 2\r\nResumes: r1\r\n";

} // namespace

// Guards against an answer with events of two software versions: the engine of
// a stream crashes, and the only other engine has another version.
TEST_CASE("a stream does not go on at another version within one answer")
{
    versioned_entry entry;
    entry.add_engine("v1");
    entry.add_engine("v2");
    const std::string got = entry.stream("r1");
    CHECK(contains(got, "data: v1") != contains(got, "data: v2"));
    CHECK_FALSE(contains(got, last_chunk));
}

// Guards against the same where the engine restarts under its id, as another
// version.
TEST_CASE("a stream does not go on at its engine restarted as another version")
{
    versioned_entry entry;
    std::size_t sent = 0;
    entry.add_target(
        "events",
        [&](const std::string& request, std::size_t)
        {
            decision::listed_target restarted =
                *entry.context->directory.serving("events").front();
            restarted.incarnation.started_ms = 7;
            restarted.revision = 11;
            restarted.version = "v2";
            entry.context->directory.note(restarted);
            const bool is_first = ++sent == 1;
            return scripted_target::response{
                stream_head(request) +
                    (is_first ? chunk(event(1, "v1"))
                              : chunk(event(2, "v2")) + last_chunk),
                is_first ? action::reset : action::keep};
        });
    const std::string got = entry.stream("r1");
    CHECK(sent == 1);
    CHECK_FALSE(contains(got, "data: v2"));
}

// Guards against events of two versions over a caller's tries: the caller takes
// up the stream at another entry, whose engines have another version.
TEST_CASE("a stream does not go on at another version at another entry")
{
    versioned_entry first;
    first.add_engine("v1", action::hang);
    first.begin_stream();
    versioned_entry second;
    const auto& engine = second.add_engine("v2");
    const std::string got = second.stream("r2", resumes_r1);
    CHECK(contains(got, " 503 "));
    CHECK(engine.requests().empty());
}

// Guards against the same at the entry where the stream began, which was
// restarted meanwhile and remembers nothing.
TEST_CASE("a stream does not go on at another version at a restarted entry")
{
    {
        versioned_entry entry;
        entry.add_engine("v1", action::hang);
        entry.begin_stream();
    }
    versioned_entry restarted;
    const auto& engine = restarted.add_engine("v2");
    CHECK(contains(restarted.stream("r2", resumes_r1), " 503 "));
    CHECK(engine.requests().empty());
}

// Guards against the same after all entries were killed at once, with engines
// of the stream's version and of another one.
TEST_CASE("no entry guesses the version of a stream after all were killed")
{
    {
        versioned_entry entry;
        entry.add_engine("v1", action::hang);
        entry.begin_stream();
    }
    for (int entry = 0; entry < 2; ++entry)
    {
        versioned_entry restarted;
        const auto& same = restarted.add_engine("v1");
        const auto& other = restarted.add_engine("v2");
        CHECK(contains(restarted.stream("r2", resumes_r1), " 503 "));
        CHECK(same.requests().empty());
        CHECK(other.requests().empty());
    }
}

// Guards against streams that are given up although they could go on: another
// engine of their version serves.
TEST_CASE("a stream goes on at another engine of its version")
{
    versioned_entry entry;
    for (const char* version : {"v1", "v2", "v1", "v2"})
        entry.add_engine(version);
    for (int number = 1; number <= 8; ++number)
    {
        const std::string got = entry.stream("r" + std::to_string(number));
        CHECK(contains(got, last_chunk));
        CHECK(contains(got, "data: v1") != contains(got, "data: v2"));
    }
}

// Guards against the same over a caller's tries: engines of the stream's
// version and of another one serve at the entry where it began.
TEST_CASE("the entry where a stream began takes it up at the same version")
{
    versioned_entry entry;
    entry.add_engine("v1", action::hang);
    entry.begin_stream();
    entry.add_engine("v2");
    entry.add_engine("v2");
    for (const char* again : {"r2", "r3", "r4"})
    {
        const std::string got = entry.stream(again, resumes_r1);
        CHECK(contains(got, "data: v1"));
        CHECK(contains(got, last_chunk));
    }
}

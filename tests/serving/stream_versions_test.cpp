#include "serving/records/record_keeper.hpp"
#include "serving/stream_registry.hpp"
#include "support/complete_responses.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <map>

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

class versioned_entry;

/// The entries of a fleet, which reach each other without a network.
using fleet = std::map<std::string, versioned_entry*>;

/// Record keepers, which outlive all entries.
using keeper_map = std::map<std::string, serving::record_keeper>;

/// An entry whose engines stream events that name the engine's version.
class versioned_entry : public serving_fixture, public serving::stream_channel
{
public:
    explicit versioned_entry(fleet* others = nullptr, std::string address = "a",
                             keeper_map* beside_engines = nullptr)
        : m_fleet(others), m_address(std::move(address)),
          m_keepers(beside_engines)
    {
        context->streams = &streams;
        context->has_all_targets = true;
        context->confirm_list = [this]
        {
            if (!is_list_reachable)
                return;
            list_changes();
            if (const auto unread = context->versions.unread_after())
                context->versions.note_read(*unread, missed);
            context->versions.note_up_to_date(time.now());
        };
        if (m_fleet != nullptr)
            (*m_fleet)[m_address] = this;
    }

    ~versioned_entry()
    {
        if (m_fleet != nullptr)
            m_fleet->erase(m_address);
    }

    versioned_entry(const versioned_entry&) = delete;
    versioned_entry& operator=(const versioned_entry&) = delete;

    std::vector<std::string> stream_keepers() const override
    {
        std::vector<std::string> keepers;
        if (m_fleet != nullptr)
            for (const auto& [address, entry] : *m_fleet)
                if (address != m_address)
                    keepers.push_back(address);
        return keepers;
    }

    bool is_record_keeper(const std::string& address) const override
    {
        return m_keepers != nullptr && m_keepers->contains(address);
    }

    std::vector<std::string> record_keepers() const override
    {
        std::vector<std::string> addresses;
        if (m_keepers != nullptr)
            for (const auto& [address, keeper] : *m_keepers)
                addresses.push_back(address);
        return addresses;
    }

    std::set<std::string> confirmed_record_keepers() const override
    {
        const auto all = record_keepers();
        return {all.begin(), all.end()};
    }

    bool is_fleet_known() const override { return true; }

    void send(const std::string& address, const peer::Frame& frame) override
    {
        if (is_record_keeper(address))
            return send_to_keeper(address, frame);
        versioned_entry& to = *m_fleet->at(address);
        if (to.is_silent)
            return;
        if (frame.has_stream_origins())
            to.streams.handle_origins(frame.stream_origins());
        if (frame.has_stream_question())
            streams.handle_answer(
                address, to.streams.handle_question(frame.stream_question())
                             .stream_answer());
    }

    void send_to_keeper(const std::string& address, const peer::Frame& frame)
    {
        const auto reply = m_keepers->at(address).handle(frame);
        if (reply->has_stream_answer())
            streams.handle_answer(address, reply->stream_answer());
        if (reply->has_version_observation())
            streams.handle_observation(address, reply->version_observation());
    }

    using serving_fixture::send;

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

    /// Sends a request for a stream and returns the response, which may be a
    /// refusal.
    std::string stream(const std::string& id, const std::string& headers = {},
                       const std::string& path = "/events/r1")
    {
        const auto connection = connect();
        send(*connection, request_text(path, id, headers));
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

    serving::stream_registry streams{*context, *this};
    bool is_silent = false; ///< It gets nothing from other entries.
    bool is_list_reachable = true;
    /// Applies what has changed in the list since it was last up to date.
    std::function<void()> list_changes = [] {};
    /// Versions of the targets that were written before this entry started and
    /// that record keepers do not know.
    std::set<decision::stream_origin> missed;

private:
    fleet* m_fleet;
    std::string m_address;
    keeper_map* m_keepers;
};

/// Four record keepers that know nothing yet.
class keepers_test
{
public:
    keepers_test()
    {
        for (const char* address : {"k1", "k2", "k3", "k4"})
            beside_engines.try_emplace(address, time, 1);
    }

    /// Has \a entry follow the list of targets.
    void serve_for(versioned_entry& entry, int seconds)
    {
        entry.context->directory.set_source_available(true, entry.time.now());
        entry.context->versions.note_gap(entry.time.now(), 1);
        for (int second = 0; second < seconds; ++second)
        {
            entry.context->versions.note_versions(
                entry.context->directory.take_seen_versions(),
                entry.time.now());
            entry.context->versions.note_up_to_date(entry.time.now());
            entry.streams.maintain();
            entry.time.advance(1s);
            time.advance(1s);
        }
    }

    runtime::paused_clock time;
    keeper_map beside_engines;
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
        const std::string id = "r" + std::to_string(number);
        // Paths differ, or the crashes would quarantine the request.
        const std::string got = entry.stream(id, {}, "/events/" + id);
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

// Guards against streams that end with the entry where they began: another
// entry knows nothing of them, although it reaches entries that do.
TEST_CASE("other entries take up the streams of an entry that was killed")
{
    fleet entries;
    versioned_entry second(&entries, "b");
    versioned_entry third(&entries, "c");
    {
        versioned_entry first(&entries, "d");
        first.add_engine("v1", action::hang);
        first.begin_stream();
    }
    versioned_entry restarted(&entries, "d");
    for (versioned_entry* entry : {&second, &third, &restarted})
    {
        for (const char* version : {"v2", "v1", "v2"})
            entry->add_engine(version);
        const std::string got = entry->stream("r2", resumes_r1);
        CHECK(contains(got, "data: v1"));
        CHECK_FALSE(contains(got, "data: v2"));
        CHECK(contains(got, last_chunk));
    }
}

// Guards against streams that are lost when all entries restart one after the
// other: the records were not sent to entries that came back.
TEST_CASE("a stream survives a restart of all entries one after the other")
{
    fleet entries;
    std::map<std::string, std::unique_ptr<versioned_entry>> running;
    const std::vector<std::string> addresses{"a", "b", "c", "d", "e"};
    for (const std::string& address : addresses)
        running[address] = std::make_unique<versioned_entry>(&entries, address);
    running["a"]->add_engine("v1", action::hang);
    running["a"]->begin_stream();
    for (const std::string& address : addresses)
    {
        running.erase(address);
        for (const auto& [other, entry] : running)
        {
            entry->streams.note_lost(address);
            entry->streams.maintain();
        }
        running[address] = std::make_unique<versioned_entry>(&entries, address);
        for (const auto& [other, entry] : running)
            entry->streams.maintain();
    }
    versioned_entry& last = *running["e"];
    last.add_engine("v2");
    last.add_engine("v1");
    CHECK(contains(last.stream("r2", resumes_r1), "data: v1"));
}

// Guards against copies that entries which join never get: a stream that begins
// at the same time hid the change.
TEST_CASE("an entry that joins as a stream begins is sent the older records")
{
    fleet entries;
    versioned_entry first(&entries, "a");
    const decision::stream_origin origin{"events", "v1"};
    const auto key = decision::make_stream_key("club", "h", "/events/r1", "r1");
    first.streams.record(key, origin, 5s);
    first.streams.maintain();
    versioned_entry second(&entries, "b");
    first.streams.record(decision::make_stream_key("club", "h", "/", "r0"),
                         origin, 5s);
    first.streams.maintain();
    second.add_engine("v1");
    second.add_engine("v2");
    entries.erase("a");
    CHECK(contains(second.stream("r2", resumes_r1), "data: v1"));
}

// Guards against a caller that waits for an entry that does not respond.
TEST_CASE("an entry that does not answer delays no stream for long")
{
    fleet entries;
    versioned_entry second(&entries, "b");
    versioned_entry first(&entries, "a"); // The last one's clock counts.
    second.is_silent = true;
    first.add_engine("v1");
    const auto before = first.time.now();
    CHECK(contains(first.stream("r2", resumes_r1), "stream_unknown"));
    CHECK(first.time.now() - before < 150ms);
}

// Guards against work for a stream that can't go on: no target of its version
// is left, and the stages would run in vain.
TEST_CASE("a stream whose version is gone is refused before its stages")
{
    versioned_entry entry;
    entry.add_engine("v2");
    entry.streams.record(
        decision::make_stream_key("club", "h", "/staged/r1", "r1"),
        {"events", "v1"}, 5s);
    const std::string got =
        entry.stream("r2", resumes_r1 + "Pieces: 11\r\n", "/staged/r1");
    CHECK(contains(got, " 503 "));
    CHECK(contains(got, "version_gone"));
    CHECK(contains(got, "Retry-After"));
    CHECK(entry.jobs.empty());
}

// Guards against new work for a leaving target: a stream of its version would
// be the exception.
TEST_CASE("a stream does not go on at a leaving target of its version")
{
    versioned_entry entry;
    auto& engine = entry.add_engine("v1", action::hang);
    entry.begin_stream();
    entry.add_engine("v2");
    entry.context->directory.note_announced_leaving({"t1"});
    CHECK(contains(entry.stream("r2", resumes_r1), "version_gone"));
    CHECK(engine.requests().size() == 1);
}

// Guards against a caller that learns of the streams of others, or continues
// them: the record belongs to the path and the account.
TEST_CASE("a stream is known for its own path and request only")
{
    versioned_entry entry;
    entry.add_engine("v1", action::hang);
    entry.begin_stream();
    CHECK(contains(entry.stream("r2", resumes_r1, "/events/other"),
                   "stream_unknown"));
    CHECK(contains(entry.stream("r3", "After: 2\r\nResumes: r9\r\n"),
                   "stream_unknown"));
    CHECK(contains(entry.stream("r4", "After: 2\r\n"), "stream_unknown"));
    CHECK(contains(entry.stream("r5", "After: 2\r\nResumes: " +
                                          std::string(9000, 'x') + "\r\n"),
                   "stream_unknown"));
}

// Guards against streams that are refused for lack of a record where nothing is
// in doubt: the service has had one version all the time.
TEST_CASE("an unrecorded stream goes on where only one version has served")
{
    versioned_entry entry;
    entry.add_engine("v1");
    auto& versions = entry.context->versions;
    versions.note_gap(entry.time.now());
    for (int second = 0; second < 7; ++second)
    {
        CHECK(contains(entry.stream("r2", resumes_r1), "stream_unknown"));
        versions.note_versions(entry.context->directory.take_seen_versions(),
                               entry.time.now());
        entry.time.advance(1s);
    }
    CHECK(contains(entry.stream("r2", resumes_r1), "data: v1"));
    const std::string unnamed = "After: 2\r\n";
    CHECK(contains(entry.stream("r2", unnamed), "data: v1"));
    entry.add_engine("v2");
    versions.note_versions(entry.context->directory.take_seen_versions(),
                           entry.time.now());
    CHECK(contains(entry.stream("r3", "After: 2\r\nResumes: r9\r\n"),
                   "stream_unknown"));
    // Nothing is recorded for streams whose first request is not named.
    CHECK(contains(entry.stream("r3", unnamed), "stream_unknown"));
    // A caller's time budget shows when it sent its first request at most.
    entry.time.advance(1s);
    entry.context->directory.note_removed("t2", 10, entry.time.now());
    entry.time.advance(3s);
    versions.note_versions(entry.context->directory.take_seen_versions(),
                           entry.time.now());
    CHECK(contains(
        entry.stream("r4", "After: 2\r\nResumes: r9\r\nBudget: 1000\r\n"),
        "stream_unknown"));
    CHECK(contains(
        entry.stream("r5", "After: 2\r\nResumes: r9\r\nBudget: 4500\r\n"),
        "data: v1"));
}

// Guards against a stream that goes on at another version than it began at: its
// entry stood still, or did not reach the source, while that version joined.
TEST_CASE_FIXTURE(keepers_test, "an old list makes no version certain")
{
    const std::string unnamed = "After: 2\r\n";
    versioned_entry entry;
    entry.add_engine("v1");
    serve_for(entry, 20);
    entry.is_list_reachable = false;
    entry.time.advance(2s);
    const std::string got = entry.stream("r2", unnamed);
    CHECK(contains(got, "stream_unknown"));
    CHECK(contains(got, "Retry-After: 0.5"));
    entry.is_list_reachable = true;
    CHECK(contains(entry.stream("r3", unnamed), "data: v1"));
    entry.time.advance(2s);
    entry.list_changes = [&entry] { entry.add_engine("v2"); };
    CHECK(contains(entry.stream("r4", unnamed), "stream_unknown"));
}

// Guards against the same where an entry that has just started believes one
// whose list is old.
TEST_CASE_FIXTURE(keepers_test, "another entry's old list is not believed")
{
    const std::string unnamed = "After: 2\r\n";
    fleet entries;
    versioned_entry lagging(&entries, "b");
    lagging.add_engine("v1");
    serve_for(lagging, 20);
    lagging.time.advance(3s);
    versioned_entry restarted(&entries, "a");
    restarted.add_engine("v1");
    restarted.context->versions.note_gap(restarted.time.now());
    CHECK(contains(restarted.stream("r2", unnamed), "stream_unknown"));
    lagging.context->versions.note_up_to_date(lagging.time.now());
    CHECK(contains(restarted.stream("r3", unnamed), "data: v1"));
}

// Guards against streams that end when all entries are lost at once, although
// engines of their version serve.
TEST_CASE_FIXTURE(keepers_test,
                  "a stream goes on at its version after all entries were lost")
{
    {
        versioned_entry entry(nullptr, "a", &beside_engines);
        entry.add_engine("v1", action::hang);
        entry.begin_stream();
    }
    versioned_entry restarted(nullptr, "a", &beside_engines);
    for (const char* version : {"v2", "v1", "v2"})
        restarted.add_engine(version);
    const std::string got = restarted.stream("r2", resumes_r1);
    CHECK(contains(got, "data: v1"));
    CHECK_FALSE(contains(got, "data: v2"));
    CHECK(contains(got, last_chunk));
}

// Guards against the same where a record keeper was lost with the entries.
TEST_CASE_FIXTURE(keepers_test,
                  "one lost record keeper ends no stream of lost entries")
{
    for (const char* lost : {"k1", "k2", "k3", "k4"})
    {
        {
            versioned_entry entry(nullptr, "a", &beside_engines);
            entry.add_engine("v1", action::hang);
            entry.begin_stream();
        }
        beside_engines.erase(lost);
        beside_engines.try_emplace(lost, time, 2);
        versioned_entry restarted(nullptr, "a", &beside_engines);
        restarted.add_engine("v2");
        restarted.add_engine("v1");
        CHECK(contains(restarted.stream("r2", resumes_r1), "data: v1"));
    }
}

// Guards against streams without a record that are refused for as long as a
// stream lives after all entries were lost, where one version has served.
TEST_CASE_FIXTURE(keepers_test,
                  "record keepers tell a new entry which versions have served")
{
    const std::string unnamed = "After: 2\r\n";
    {
        versioned_entry entry(nullptr, "a", &beside_engines);
        entry.add_engine("v1");
        serve_for(entry, 20);
    }
    time.advance(2s);
    {
        versioned_entry restarted(nullptr, "a", &beside_engines);
        restarted.add_engine("v1");
        CHECK(contains(restarted.stream("r2", unnamed), "stream_unknown"));
        serve_for(restarted, 1);
        CHECK(contains(restarted.stream("r3", unnamed), "data: v1"));
        // Another version that serves now, or has served lately.
        restarted.add_engine("v2");
        CHECK(contains(restarted.stream("r4", unnamed), "stream_unknown"));
        serve_for(restarted, 3);
    }
    versioned_entry last(nullptr, "a", &beside_engines);
    last.add_engine("v1");
    serve_for(last, 1);
    CHECK(contains(last.stream("r5", unnamed), "stream_unknown"));
}

// Guards against a stream that goes on at another version than it began at: its
// version came and went while record keepers were told nothing.
TEST_CASE_FIXTURE(keepers_test, "a new entry reads what record keepers missed")
{
    for (const bool has_missed : {false, true})
    {
        {
            versioned_entry entry(nullptr, "a", &beside_engines);
            entry.add_engine("v1");
            serve_for(entry, 20);
        }
        time.advance(2s);
        versioned_entry restarted(nullptr, "a", &beside_engines);
        restarted.add_engine("v1");
        if (has_missed)
            restarted.missed = {{"events", "v2"}};
        serve_for(restarted, 1);
        CHECK(contains(restarted.stream("r2", "After: 2\r\n"),
                       has_missed ? "stream_unknown" : "data: v1"));
    }
}

// Guards against the same where the changes since can't be read.
TEST_CASE_FIXTURE(keepers_test, "what a new entry can't read makes it refuse")
{
    {
        versioned_entry entry(nullptr, "a", &beside_engines);
        entry.add_engine("v1");
        serve_for(entry, 20);
    }
    time.advance(2s);
    versioned_entry restarted(nullptr, "a", &beside_engines);
    restarted.add_engine("v1");
    restarted.context->versions.note_unreadable(1);
    serve_for(restarted, 3);
    CHECK(contains(restarted.stream("r2", "After: 2\r\n"), "stream_unknown"));
}

// Guards against a stream that is refused although its record is found: another
// entry, whose list lags, has seen one version only.
TEST_CASE_FIXTURE(keepers_test, "a record counts more than what an entry saw")
{
    fleet entries;
    versioned_entry lagging(&entries, "b", &beside_engines);
    lagging.add_engine("v1");
    serve_for(lagging, 20);
    lagging.is_silent = true;
    {
        versioned_entry lost(&entries, "c", &beside_engines);
        lost.add_engine("v2", action::hang);
        lost.begin_stream();
    }
    lagging.is_silent = false;
    versioned_entry restarted(&entries, "a", &beside_engines);
    restarted.add_engine("v1");
    restarted.add_engine("v2");
    // Without a record, the lagging entry is not believed.
    CHECK(contains(restarted.stream("r3", "After: 2\r\nResumes: r9\r\n"),
                   "stream_unknown"));
    CHECK(contains(restarted.stream("r2", resumes_r1), "data: v2"));
}

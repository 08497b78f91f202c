#include "serving/engine_scheduler.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

struct recording_channel : placement_channel
{
    std::string scheduler_of(const std::string&) override { return scheduler; }
    void send(const std::string& address, const peer::Frame& frame) override
    {
        CHECK(address == "scheduler");
        sent.push_back(frame);
    }

    std::string scheduler = "scheduler";
    std::vector<peer::Frame> sent;
};

/// An entry with two engines whose streams have one event, and a scheduler at
/// another entry that a test plays.
struct asking_entry : test::serving_fixture
{
    asking_entry()
    {
        context->scheduler = &placements;
        for (auto* engine : {&first, &second})
            *engine = &add_target("events", answer);
    }

    static test::scripted_target::response answer(const std::string& request,
                                                  std::size_t)
    {
        const auto at = request.find("Id: ") + 4;
        return {"HTTP/1.1 200 OK\r\nId: " +
                    request.substr(at, request.find('\r', at) - at) +
                    "\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "f\r\nid: 1\ndata: e\n\n\r\n0\r\n\r\n",
                test::scripted_target::response::connection_action::keep};
    }

    void send_request()
    {
        callers.push_back(connect());
        send(*callers.back(),
             test::request_text("/events/",
                                "r" + std::to_string(callers.size())));
    }

    /// Sends a request and waits until the scheduler is asked. Returns the
    /// question's number.
    std::uint64_t start_request()
    {
        const std::size_t before = channel.sent.size();
        send_request();
        run_until([&] { return channel.sent.size() > before; });
        REQUIRE(channel.sent.back().has_placement_request());
        return channel.sent.back().placement_request().number();
    }

    void place(std::uint64_t number, const std::string& target,
               std::uint64_t born = 0, const std::string& from = "scheduler")
    {
        peer::Placement placement;
        placement.set_number(number);
        placement.set_target(target);
        placement.set_born(born);
        placement.set_pace(2);
        placements.handle_placement(from, placement);
    }

    void finish_request()
    {
        run_until([&] { return is_answered(); });
        settle();
    }

    bool is_answered() const
    {
        return callers.back()->received.find("0\r\n\r\n") != std::string::npos;
    }

    /// Returns the engine that the entry reported as its own choice last.
    std::string reported_choice() const
    {
        for (auto frame = channel.sent.rbegin(); frame != channel.sent.rend();
             ++frame)
            if (frame->has_placement_request())
                return frame->placement_request().chosen();
        return {};
    }

    std::uint64_t placements_made(const std::string& how)
    {
        return context->metrics.count(
            {"placements", runtime::label("how", how)});
    }

    recording_channel channel;
    engine_scheduler placements{*context, channel};
    test::scripted_target* first = nullptr;
    test::scripted_target* second = nullptr;
    std::vector<std::shared_ptr<caller>> callers;
};

/// An entry that schedules the engines t1 and t2 for others.
struct answering_entry : asking_entry
{
    answering_entry() { channel.scheduler.clear(); }

    std::string ask(const std::string& sender, std::uint64_t number,
                    const std::string& chosen = {})
    {
        peer::PlacementRequest message;
        message.set_number(number);
        message.set_service("events");
        message.set_zone("a");
        message.set_chosen(chosen);
        peer::PromptSegment& prompt = *message.add_prompt();
        prompt.set_id(sender + std::to_string(number));
        prompt.set_tokens(4000);
        const auto reply = placements.handle_request(sender, message);
        return reply ? reply->placement().target() : std::string("none");
    }

    void report(const std::string& sender, std::uint64_t number,
                peer::GenerationUpdate::Event event)
    {
        peer::GenerationUpdate message;
        message.set_number(number);
        message.set_event(event);
        message.set_after_ns(std::chrono::nanoseconds(150ms).count());
        placements.handle_update(sender, message);
    }
};

} // namespace

TEST_CASE("an entry sends a generation to the engine that the scheduler chose")
{
    for (const bool is_first : {true, false})
    {
        asking_entry entry;
        entry.place(entry.start_request(), is_first ? "t1" : "t2");
        entry.finish_request();
        CHECK(entry.first->requests().size() == (is_first ? 1 : 0));
        CHECK(entry.placements_made("scheduled") == 1);
        REQUIRE(entry.channel.sent.size() == 3);
        CHECK(entry.channel.sent[1].generation_update().event() ==
              peer::GenerationUpdate::FIRST_EVENT);
        CHECK(entry.channel.sent[2].generation_update().event() ==
              peer::GenerationUpdate::ENDED);
        CHECK(entry.context->engines.pace().pace(is_first ? "t1" : "t2",
                                                 entry.time.now()) > 1.5);
    }
}

// Guards against generations that hang when the scheduler has died in a burst:
// each waits for 40 ms only, and from the fourth on none waits. The next
// scheduler must know what the entry chose.
TEST_CASE("an entry chooses engines itself if the scheduler does not answer")
{
    asking_entry entry;
    for (int request = 0; request < 3; ++request)
    {
        entry.start_request();
        entry.settle();
        CHECK_FALSE(entry.is_answered());
        entry.time.advance(41ms);
        entry.finish_request();
        CHECK_FALSE(entry.reported_choice().empty());
    }
    CHECK(entry.placements_made("timeout") == 3);
    entry.send_request();
    entry.finish_request();
    CHECK(entry.placements_made("own") == 1);
    entry.time.advance(1s);
    entry.place(entry.start_request(), "t1");
    entry.finish_request();
    CHECK(entry.placements_made("scheduled") == 1);
}

// Guards against a request sent to an engine that is gone, since the scheduler
// has an older list: an unknown engine, and one that restarted under its id.
TEST_CASE("an entry does not follow a placement at an engine it does not list")
{
    asking_entry entry;
    entry.place(entry.start_request(), "t9");
    entry.finish_request();
    entry.place(entry.start_request(), "t1", 77);
    entry.finish_request();
    CHECK(entry.placements_made("own") == 2);
    CHECK_FALSE(entry.reported_choice().empty());
}

// Guards against a request that ends an engine's rest, since the scheduler does
// not know of it.
TEST_CASE("an entry does not follow a placement at a resting engine")
{
    asking_entry entry;
    const auto number = entry.start_request();
    entry.context->resting_targets.note_rest("t1", 5s, entry.time.now());
    entry.place(number, "t1");
    entry.finish_request();
    CHECK(entry.first->requests().empty());
    CHECK(entry.second->requests().size() == 1);
    entry.start_request();
    const auto& question = entry.channel.sent.back().placement_request();
    REQUIRE(question.excluded_size() == 1);
    CHECK(question.excluded(0) == "t1");
}

// Guards against two schedulers that answer at the same time, after one was
// elected while the other was asked: neither knows the other's choices.
TEST_CASE("answers of other entries than the elected scheduler are ignored")
{
    asking_entry entry;
    const auto number = entry.start_request();
    entry.place(number, "t1", 0, "another");
    entry.settle();
    CHECK_FALSE(entry.is_answered());
    entry.channel.scheduler.clear();
    entry.place(number, "t1");
    entry.finish_request();
    CHECK(entry.placements_made("scheduled") == 0);
}

// Guards against an engine that counts as busy for 30 s, since the caller left
// while the scheduler was asked.
TEST_CASE("an entry reports the end of a generation that it does not send")
{
    asking_entry entry;
    const auto number = entry.start_request();
    // A reset, since an orderly close may be a half-closed connection.
    entry.callers.back()->socket.set_option(asio::socket_base::linger(true, 0));
    entry.callers.back()->socket.close();
    entry.settle();
    entry.place(number, "t1");
    entry.settle();
    CHECK(entry.first->requests().empty());
    REQUIRE(entry.channel.sent.back().has_generation_update());
    CHECK(entry.channel.sent.back().generation_update().event() ==
          peer::GenerationUpdate::ENDED);
}

// Load: several entries ask at the same moment. Guards against all of them
// getting the one engine that was free before.
TEST_CASE("a scheduler spreads the generations of several entries")
{
    answering_entry entry;
    const std::string one = entry.ask("entry-1", 1);
    const std::string other = entry.ask("entry-2", 1);
    CHECK(one != other);
    entry.report("entry-1", 1, peer::GenerationUpdate::FIRST_EVENT);
    entry.report("entry-1", 1, peer::GenerationUpdate::ENDED);
    CHECK(entry.ask("entry-3", 1) == one);
}

// Guards against an engine that counts as free although an entry, which got the
// answer too late, has sent its generation there.
TEST_CASE("a scheduler records what an entry chose itself")
{
    answering_entry entry;
    const std::string one = entry.ask("entry-1", 1);
    const std::string other = one == "t1" ? "t2" : "t1";
    CHECK(entry.ask("entry-1", 1, other) == "none");
    CHECK(entry.ask("entry-2", 1) == one);
}

// Guards against engines that count as busy for good after entries died or
// updates were lost.
TEST_CASE("a scheduler forgets generations whose entry or updates are lost")
{
    answering_entry entry;
    entry.ask("entry-1", 1);
    entry.ask("entry-2", 1);
    entry.placements.note_sender_lost("entry-1");
    entry.time.advance(1s);
    entry.placements.maintain();
    CHECK(entry.context->generations.size() == 2);
    entry.time.advance(1s);
    entry.placements.maintain();
    CHECK(entry.context->generations.size() == 1);
    entry.time.advance(28s);
    entry.placements.maintain();
    CHECK(entry.context->generations.size() == 0);
}

// Guards against an exception or an unbounded record through messages of a
// faulty entry.
TEST_CASE("a scheduler answers malformed questions without an engine")
{
    answering_entry entry;
    peer::PlacementRequest message;
    message.set_service("nothing");
    for (int segment = 0; segment < 1000; ++segment)
        message.add_prompt()->set_tokens(~0U);
    const auto reply = entry.placements.handle_request("x", message);
    REQUIRE(reply.has_value());
    CHECK(reply->placement().target().empty());
    CHECK(entry.ask("x", 1, "unknown") == "none");
    entry.report("x", 9, peer::GenerationUpdate::ENDED);
    entry.report("x", 1, peer::GenerationUpdate::UNKNOWN);
    CHECK(entry.context->generations.size() == 0);
}

// Guards against urgent generations that wait at an engine behind others, and
// against a changed order in deployments whose requests are all alike.
TEST_CASE("engines learn the priority of a generation where ranks differ")
{
    for (const bool has_ranks : {false, true})
    {
        asking_entry entry;
        entry.channel.scheduler.clear();
        catalog::document changed = entry.context->catalog->content();
        if (has_ranks)
        {
            changed.accounts[0].priority = 1;
            changed.accounts.push_back({"other", 0, {}});
        }
        for (catalog::route& route : changed.routes)
            if (route.services[0].service == "events")
                route.priority = 7;
        entry.context->catalog =
            std::make_shared<catalog::catalog_index>(changed);
        entry.send_request();
        entry.finish_request();
        const auto& requests = entry.first->requests().empty()
                                   ? entry.second->requests()
                                   : entry.first->requests();
        const bool has_priority =
            requests.at(0).find("Priority: 5\r\n") != std::string::npos;
        CHECK(has_priority == has_ranks);
        CHECK((requests.at(0).find("Priority:") == std::string::npos) !=
              has_ranks);
    }
}

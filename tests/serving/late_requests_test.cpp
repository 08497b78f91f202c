#include "support/complete_responses.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

constexpr serving::duration grace = 8s;
constexpr int required_replies = 2;

/// What a target does with a request.
enum class behaviour : std::uint8_t
{
    answers_late,
    is_silent,
    trickles, ///< An answer that does not end.
    asks_for_rest,
    resets
};

/// An entry that is told to stop in calm, alone, and gets requests of all kinds
/// until its process ends.
struct stopping_alone : serving_fixture
{
    explicit stopping_alone(behaviour shown, std::size_t memory_bytes = 0)
        : serving_fixture(memory_bytes), m_shown(shown)
    {
        for (const char* service :
             {"plain", "plain", "events", "events", "pieces", "pieces"})
        {
            auto address = std::make_shared<std::string>();
            auto& target = add_target(
                service, [this, service = std::string(service),
                          address](const std::string& request, std::size_t)
                { return respond(service, *address, request); });
            *address = target.address();
            targets.push_back(&target);
        }
        // The answers before were short, which says nothing about these.
        for (const catalog::route& route : context->catalog->content().routes)
        {
            auto& times = context->times_by_route[route.name];
            times.time_to_first_event.add(50ms);
            times.answer_time.add(100ms);
        }
        context->drain.emplace(time.now(), grace, required_replies);
    }

    scripted_target::response respond(const std::string& service,
                                      const std::string& address,
                                      const std::string& request)
    {
        auto reply = complete_response_of(service, address, request, results);
        switch (m_shown)
        {
        case behaviour::answers_late:
            reply.delay = 900ms;
            break;
        case behaviour::is_silent:
            reply = {"", end::hang};
            break;
        case behaviour::trickles:
            reply = {
                "HTTP/1.1 200 OK\r\nSeal: s\r\nId: " + request_id_of(request) +
                    "\r\nTransfer-Encoding: chunked\r\n\r\n",
                end::hang};
            reply.repeated = "9\r\nid: 1\nd:\n\r\n";
            reply.interval = 100ms;
            break;
        case behaviour::asks_for_rest:
            reply = {response_text(request_id_of(request), "", "503 Busy",
                                   "Not-Run: 1\r\nRest: 1\r\n"),
                     end::keep};
            break;
        case behaviour::resets:
            reply = {"", end::reset};
            break;
        }
        return reply;
    }

    /// Sends a request to each route, with each time budget.
    void send_all_kinds()
    {
        for (const char* path : {"/once/", "/again/", "/events/",
                                 "/once-events/", "/staged/", "/beside/"})
            for (const char* budget :
                 {"", "Budget: 700\r\n", "Budget: 2000\r\n", "Budget: 4000\r\n",
                  "Budget: 30000\r\n"})
            {
                callers.push_back(connect());
                send(*callers.back(),
                     request_text(path, "r" + std::to_string(callers.size()),
                                  std::string("Pieces: 111\r\n") + budget));
            }
    }

    /// Has a body of each sort end after \a time: one of an announced length,
    /// and one that waits for "100 Continue".
    void send_bodies_until(serving::duration passed)
    {
        for (const char* fields : {"", "Expect: 100-continue\r\n"})
        {
            callers.push_back(connect());
            const std::string head =
                request_text("/once/", "r" + std::to_string(callers.size()),
                             std::string("Content-Length: 2\r\n") + fields);
            send(*callers.back(), "POST" + head.substr(3) + "b");
        }
        pass(passed);
        for (std::size_t at = callers.size() - 2; at < callers.size(); ++at)
            send(*callers[at], "b");
    }

    /// Sends requests with bodies of which three at a time find memory.
    void send_long_bodies()
    {
        for (int count = 0; count < 8; ++count)
        {
            callers.push_back(connect());
            const std::string head =
                request_text("/once/", "r" + std::to_string(callers.size()),
                             "Content-Length: 400000\r\nBudget: 3500\r\n");
            send(*callers.back(),
                 "POST" + head.substr(3) + std::string(400'000, 'b'));
        }
    }

    /// Has an operator set longer time limits.
    void lengthen_time_limits()
    {
        catalog::document longer = context->catalog->content();
        ++longer.version;
        for (catalog::route& route : longer.routes)
            route.timeout = 60s;
        context->catalog =
            std::make_shared<catalog::catalog_index>(std::move(longer));
    }

    void pass(serving::duration total)
    {
        for (serving::duration passed{}; passed < total; passed += step)
        {
            time.advance(step);
            for (int turn = 0; turn < 4; ++turn)
                loop.run_for(1ms);
            if (time.now() >= context->drain->last_answers_at())
                server->reject_unsent();
        }
    }

    std::size_t passed_on() const
    {
        std::size_t count = 0;
        for (const scripted_target* target : targets)
            count += target->requests().size();
        return count;
    }

    /// Lets the process end when it must. Returns whether all requests have
    /// ended then.
    bool ends_with_answers()
    {
        pass(context->drain->request_deadline() - time.now());
        bool has_all = server->requests_in_progress() == 0;
        for (const auto& from : callers)
            has_all = has_all &&
                      (from->is_ended || contains(from->received, "\r\n\r\n"));
        return has_all;
    }

    serving::duration step = 50ms; ///< Between two turns of the event loop.
    std::vector<scripted_target*> targets;
    std::vector<std::shared_ptr<caller>> callers;
    std::size_t results = 0;

private:
    behaviour m_shown;
};

} // namespace

// Guards against a request that comes late in the grace, is passed on, and has
// no answer when the process ends.
TEST_CASE(
    "each request that comes late in a grace has ended before the process")
{
    for (const behaviour shown :
         {behaviour::answers_late, behaviour::is_silent, behaviour::trickles,
          behaviour::asks_for_rest, behaviour::resets})
    {
        CAPTURE(static_cast<int>(shown));
        stopping_alone entry(shown);
        entry.pass(2600ms);
        REQUIRE(entry.context->drain->is_out_of_rotation(entry.time.now()));
        for (int burst = 0; burst < 4; ++burst)
        {
            entry.send_all_kinds();
            entry.send_bodies_until(500ms);
            if (burst == 1)
                entry.lengthen_time_limits();
            entry.pass(700ms);
        }
        CHECK(entry.passed_on() > 0);
        CHECK(entry.ends_with_answers());
    }
}

// Guards against the same in a process whose event loop is late.
TEST_CASE("each request has ended though timers are late by 150 ms")
{
    for (const behaviour shown :
         {behaviour::answers_late, behaviour::is_silent, behaviour::trickles})
    {
        CAPTURE(static_cast<int>(shown));
        stopping_alone entry(shown);
        entry.step = 150ms;
        entry.pass(2600ms);
        for (int burst = 0; burst < 4; ++burst)
        {
            entry.send_all_kinds();
            entry.send_bodies_until(450ms);
            entry.pass(600ms);
        }
        CHECK(entry.passed_on() > 0);
        CHECK(entry.ends_with_answers());
    }
}

// Guards against the same for a request that waits for memory meanwhile.
TEST_CASE("each request that waits for memory has ended before the process")
{
    constexpr std::size_t few_bytes = 3'000'000;
    for (const behaviour shown :
         {behaviour::answers_late, behaviour::is_silent})
    {
        CAPTURE(static_cast<int>(shown));
        stopping_alone entry(shown, few_bytes);
        entry.pass(2600ms);
        std::size_t most_waiting = 0;
        for (int burst = 0; burst < 6; ++burst)
        {
            entry.send_long_bodies();
            entry.pass(100ms);
            most_waiting = std::max(most_waiting,
                                    entry.context->bodies.account().waiting());
            entry.pass(700ms);
        }
        CHECK(most_waiting > 0);
        CHECK(entry.passed_on() > 0);
        CHECK(entry.ends_with_answers());
    }
}

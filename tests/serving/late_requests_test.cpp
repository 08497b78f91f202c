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
    explicit stopping_alone(behaviour shown) : m_shown(shown)
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
        constexpr serving::duration step = 50ms;
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
        entry.pass(entry.context->drain->request_deadline() - entry.time.now());
        CHECK(entry.server->requests_in_progress() == 0);
        for (const auto& from : entry.callers)
            CHECK((from->is_ended || contains(from->received, "\r\n\r\n")));
    }
}

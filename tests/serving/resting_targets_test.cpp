#include "support/complete_responses.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace mangofold::test;
using namespace mangofold;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;
using decision::duration;
using decision::instant;

namespace
{

constexpr duration rest = 3s;

/// An entry with targets that refuse each request and ask for rest.
struct entry_with_resting_targets : serving_fixture
{
    /// Adds a target of \a service that refuses requests for \a refused_for.
    void add_resting(const std::string& service, duration refused_for = 1h)
    {
        auto address = std::make_shared<std::string>();
        const std::size_t number = arrivals.size();
        arrivals.emplace_back();
        const instant until = time.now() + refused_for;
        const auto& target = add_target(
            service,
            [this, number, until, service, address](const std::string& request,
                                                    std::size_t)
            {
                arrivals[number].push_back(time.now());
                if (time.now() >= until)
                    return complete_response_of(service, *address, request,
                                                results);
                return scripted_target::response{
                    response_text(request_id_of(request), "", "503 Busy",
                                  "Not-Run: 1\r\nRest: 3\r\n"),
                    end::keep};
            });
        *address = target.address();
    }

    void add_serving(const std::string& service)
    {
        auto address = std::make_shared<std::string>();
        const auto& target = add_target(
            service,
            [this, service, address](const std::string& request, std::size_t) {
                return complete_response_of(service, *address, request,
                                            results);
            });
        *address = target.address();
    }

    std::string ask(const std::string& path, const std::string& headers = {})
    {
        return send_and_receive(
            request_text(path, "r" + std::to_string(++requests), headers));
    }

    /// Sends a request to \a path every \a interval for \a period. Returns how
    /// many of them were answered with 200.
    int ask_for(duration period, duration interval, const std::string& path,
                const std::string& headers = {})
    {
        int served = 0;
        for (duration passed{}; passed < period; passed += interval)
        {
            served += contains(ask(path, headers), " 200 ") ? 1 : 0;
            time.advance(interval);
        }
        return served;
    }

    /// Returns the most requests that any target got within a rest that it had
    /// asked for, half a second after it asked and later.
    std::size_t most_within_a_rest() const
    {
        std::size_t most = 0;
        for (const std::vector<instant>& times : arrivals)
            for (const instant asked : times)
                most = std::max<std::size_t>(
                    most, static_cast<std::size_t>(
                              std::count_if(times.begin(), times.end(),
                                            [asked](instant at) {
                                                return at > asked + 500ms &&
                                                       at < asked + rest;
                                            })));
        return most;
    }

    std::vector<std::vector<instant>> arrivals; ///< By resting target.
    std::size_t requests = 0;
    std::size_t results = 0;
};

/// How many requests may reach a target in such a rest.
constexpr std::size_t max_within_a_rest = 2;

} // namespace

// Guards against targets that are never relieved although they ask for rest,
// while others of the same service are free.
TEST_CASE("a target that asks for rest gets no requests until it is over")
{
    for (const std::string path : {"/again/", "/events/"})
    {
        CAPTURE(path);
        const std::string service = path == "/events/" ? "events" : "plain";
        entry_with_resting_targets entry;
        entry.add_resting(service);
        entry.add_resting(service);
        entry.add_serving(service);
        constexpr int requests = 60;
        entry.ask_for(100ms * requests, 100ms, path);
        CHECK(entry.most_within_a_rest() <= max_within_a_rest);
    }
}

// Guards against calls of stages, and releases of results, to a target that
// asked for rest.
TEST_CASE("a stage target that asks for rest gets no calls until it is over")
{
    entry_with_resting_targets entry;
    entry.add_serving("events");
    entry.add_resting("pieces");
    entry.add_serving("pieces");
    constexpr int requests = 40;
    CHECK(entry.ask_for(100ms * requests, 100ms, "/staged/",
                        "Pieces: 11\r\n") == requests);
    CHECK(entry.most_within_a_rest() <= max_within_a_rest);
}

// Guards against requests that are sent to resting targets because there are
// no others, or that wait for them.
TEST_CASE("a request is refused at once while all targets rest")
{
    for (const std::string path : {"/once/", "/events/"})
    {
        CAPTURE(path);
        const std::string service = path == "/events/" ? "events" : "plain";
        entry_with_resting_targets entry;
        entry.add_resting(service);
        entry.add_resting(service);
        entry.ask_for(500ms, 100ms, path);
        const std::size_t before =
            entry.arrivals[0].size() + entry.arrivals[1].size();
        entry.time.advance(500ms);
        const std::string got = entry.ask(path);
        CHECK(entry.arrivals[0].size() + entry.arrivals[1].size() == before);
        CHECK(contains(got, " 503 "));
        CHECK(contains(got, "targets_resting"));
        CHECK(contains(got, "Retry-After: "));
    }
}

// Guards against requests that wait until their deadline for stage targets that
// all rest.
TEST_CASE("a request is refused at once while all targets of a stage rest")
{
    entry_with_resting_targets entry;
    entry.add_serving("events");
    entry.add_resting("pieces");
    for (int index = 0; index < 2; ++index)
        CHECK(contains(entry.ask("/staged/", "Pieces: 11\r\n"), " 503 "));
    CHECK(entry.arrivals[0].size() == 1);
}

// Guards against a target that gets few requests after its rest.
TEST_CASE("a target gets requests again once its rest is over")
{
    entry_with_resting_targets entry;
    entry.add_resting("plain", 1s);
    entry.ask_for(1s, 250ms, "/again/");
    entry.time.advance(rest);
    CHECK(contains(entry.ask("/again/"), " 200 "));
}

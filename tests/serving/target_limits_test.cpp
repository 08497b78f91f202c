#include "support/complete_responses.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace mangofold::test;
using namespace mangofold;
using namespace std::chrono_literals;
using decision::duration;
using decision::instant;

namespace
{

/// One entry of a fleet with a target that states a limit on its requests and
/// another one that does not.
struct limited_entry : serving_fixture
{
    limited_entry(std::string service_name, std::size_t rank,
                  std::size_t entries)
        : service(std::move(service_name))
    {
        context->peak_entries = context->responding_entries = entries;
        context->ordinal_for = [rank, entries](const std::string&) {
            return decision::ordinal{rank, entries};
        };
    }

    /// Adds a target that states the limit in \a limit; none if it is empty.
    void add(const std::string& to, const std::string& limit = {})
    {
        auto address = std::make_shared<std::string>();
        const auto& target = add_target(
            to,
            [this, to, address, limit](const std::string& request, std::size_t)
            {
                if (!limit.empty())
                    arrivals.push_back(time.now());
                const bool is_limited = !limit.empty() && !is_need_over;
                return complete_response_of(
                    to, *address, request, results,
                    is_limited ? "Limit: " + limit + "\r\n" : "");
            });
        *address = target.address();
    }

    std::string ask(const std::string& path, const std::string& headers = {})
    {
        const std::string id = "r" + std::to_string(++requests);
        return send_and_receive(request_text(path, id, headers), "\r\n\r\n");
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

    /// Returns the arrivals at limited targets later than half a second after
    /// this entry learned of the limit.
    std::vector<instant> arrivals_once_known() const
    {
        std::vector<instant> result;
        for (const instant at : arrivals)
            if (at > arrivals.front() + 500ms)
                result.push_back(at);
        return result;
    }

    std::string service;
    std::vector<instant> arrivals; ///< At limited targets.
    bool is_need_over = false;
    std::size_t requests = 0;
    std::size_t results = 0;
};

/// Returns the highest number of \a arrivals in any four seconds.
std::size_t max_in_four_seconds(std::vector<instant> arrivals)
{
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t result = 0;
    for (auto from = arrivals.begin(); from != arrivals.end(); ++from)
        result = std::max<std::size_t>(
            result,
            static_cast<std::size_t>(
                std::upper_bound(from, arrivals.end(), *from + 4s) - from));
    return result;
}

/// How many requests a target with a limit of one a second may get in four
/// seconds.
constexpr std::size_t max_arrivals = 11;

} // namespace

// Guards against a fleet whose entries together send an overloaded target more
// than the limit that it has stated to each of them.
TEST_CASE("all entries together keep to the limit that a target states")
{
    for (const std::string path : {"/again/", "/events/"})
    {
        CAPTURE(path);
        std::vector<instant> arrivals;
        constexpr std::size_t entries = 6;
        for (std::size_t rank = 0; rank < entries; ++rank)
        {
            const std::string service = path == "/events/" ? "events" : "plain";
            limited_entry entry(service, rank, entries);
            entry.add(service, "1");
            entry.add(service);
            constexpr int requests = 32;
            CHECK(entry.ask_for(250ms * requests, 250ms, path) == requests);
            const auto later = entry.arrivals_once_known();
            arrivals.insert(arrivals.end(), later.begin(), later.end());
        }
        CHECK(max_in_four_seconds(arrivals) <= max_arrivals);
    }
}

// Guards against calls of stages that exceed the limit of an overloaded target,
// releases of results included.
TEST_CASE("calls for pieces keep to the limit that a target states")
{
    limited_entry entry("events", 0, 1);
    entry.add("events");
    entry.add("pieces", "1");
    entry.add("pieces");
    constexpr int requests = 80;
    CHECK(entry.ask_for(100ms * requests, 100ms, "/staged/",
                        "Pieces: 11\r\n") == requests);
    CHECK(max_in_four_seconds(entry.arrivals_once_known()) <= max_arrivals);
}

// Guards against requests that wait, or are sent all the same, where every
// target has reached its limit.
TEST_CASE("requests beyond the limits of all targets are refused at once")
{
    for (const std::string path : {"/once/", "/events/"})
    {
        CAPTURE(path);
        const std::string service = path == "/events/" ? "events" : "plain";
        limited_entry entry(service, 0, 1);
        entry.add(service, "1");
        entry.add(service, "1");
        entry.ask_for(1s, 500ms, path);
        const std::size_t before = entry.arrivals.size();
        std::string last;
        for (int index = 0; index < 10; ++index)
            last = entry.ask(path, "Budget: 3000\r\n");
        CHECK(entry.arrivals.size() <= before + 2);
        CHECK(contains(last, " 503 "));
        CHECK(contains(last, "Retry-After: "));
    }
}

// Guards against targets without a limit that get no requests while another
// one has a limit, because time passes between two readings of the clock.
TEST_CASE("a limit of one target does not affect another one")
{
    for (const std::string path : {"/again/", "/events/"})
    {
        CAPTURE(path);
        const std::string service = path == "/events/" ? "events" : "plain";
        limited_entry entry(service, 0, 1);
        entry.add(service, "0");
        entry.add(service);
        entry.ask_for(500ms, 250ms, path);
        entry.time.set_tick(1us);
        constexpr int requests = 4;
        CHECK(entry.ask_for(250ms * requests, 250ms, path) == requests);
    }
}

// Guards against a target that gets few requests for long after its need ended.
TEST_CASE("a target gets its usual requests again once it states no limit")
{
    limited_entry entry("plain", 0, 1);
    entry.add("plain", "1");
    entry.add("plain");
    entry.ask_for(3s, 250ms, "/again/");
    entry.is_need_over = true;
    entry.ask_for(4s, 250ms, "/again/");
    const std::size_t before = entry.arrivals.size();
    entry.ask_for(5s, 100ms, "/again/");
    CHECK(entry.arrivals.size() > before + 10);
}

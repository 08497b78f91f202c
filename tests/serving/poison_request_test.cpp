#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <functional>

using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::reaction::end;

namespace
{

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::string id_of(const std::string& request)
{
    const std::size_t at = request.find("Id: ") + 4;
    return request.substr(at, request.find('\r', at) - at);
}

/// An entry before targets that end whenever they begin a request to a path
/// with "poison" in it; another one is listed in their place.
struct poisoned_entry : serving_fixture
{
    explicit poisoned_entry(std::string its_service)
        : service(std::move(its_service))
    {
        constexpr int targets = 4;
        for (int one = 0; one < targets; ++one)
            add();
    }

    void add()
    {
        const std::string name = "t" + std::to_string(++listed);
        add_target(service,
                   [this, name](const std::string& request, std::size_t)
                   { return react(name, request); });
    }

    scripted_target::reaction react(const std::string& name,
                                    const std::string& request)
    {
        if (!has(request, "poison"))
            return {response_text(id_of(request), "whole"), end::keep};
        ++ended;
        context->directory.note_gone(name, 100 + ended);
        add();
        return {"", end::reset};
    }

    /// Asks for \a path as another caller's sending would, a while later.
    std::string ask_again(const std::string& path)
    {
        time.advance(500ms);
        return send_and_receive(
            request_text(path, "r" + std::to_string(++asked)));
    }

    std::string service;
    std::size_t listed = 0;
    std::size_t ended = 0;
    std::size_t asked = 0;
};

/// An entry before stage targets that end whenever a call holds a piece of a
/// request whose id begins with "poison".
struct poisoned_stage : serving_fixture
{
    poisoned_stage()
    {
        add_target("events",
                   [](const std::string& request, std::size_t)
                   {
                       return scripted_target::reaction{
                           response_text(id_of(request), "id: 1\ndata: e\n\n"),
                           end::keep};
                   });
    }

    void add()
    {
        const std::string name = "t" + std::to_string(++listed);
        auto where = std::make_shared<std::string>();
        const auto& target = add_target(
            "pieces", [this, name, where](const std::string& call, std::size_t)
            { return react(name, *where, call); });
        *where = target.address();
    }

    scripted_target::reaction react(const std::string& name,
                                    const std::string& where,
                                    const std::string& call)
    {
        if (has(call, "/let-go"))
            return {response_text("", ""), end::keep};
        const std::string body = call.substr(call.find("\r\n\r\n") + 4);
        if (has(body, "poison"))
        {
            ++ended;
            context->directory.note_gone(name, 100 + ended);
            add();
            return {"", end::reset};
        }
        std::string results;
        for (std::size_t at = 0; at < body.size(); at = body.find('\n', at) + 1)
            results += where + "/" + std::to_string(++made) + "\n";
        return {response_text("", results), end::keep};
    }

    std::size_t listed = 1; // The target of "events" is numbered too.
    std::size_t ended = 0;
    std::size_t made = 0;
};

constexpr std::size_t most_ended = 3;

} // namespace

// Callers of a whole service find its targets gone, one after the other: 16
// engines of 18 ended in twelve seconds, with all that ran on them.
// 1. One request ends the target that begins it; its caller gets a 502. 2. It
// is sent again, under a new id, and ends the next one. 3. The entry treats it
// as if it had never come. That the record of each end named one route and
// never two ids alike, and that the digest of path, body and account was the
// same each time, told this from targets that ended by themselves.
TEST_CASE("a request that ends its targets is kept from the others")
{
    for (const std::string path : {"/once/poison", "/again/poison"})
    {
        CAPTURE(path);
        poisoned_entry entry("plain");
        std::string last;
        for (int sending = 0; sending < 10; ++sending)
        {
            last = entry.ask_again(path);
            CHECK(has(entry.ask_again("/once/harmless"), " 200 "));
        }
        CHECK(entry.ended <= most_ended);
        CHECK(has(last, " 503 "));
        CHECK(has(last, "Retry-After: "));
    }
}

// The same for a stream, which is sent on to the next engine by itself where
// it may go on there.
TEST_CASE("a stream that ends its engines is kept from the others")
{
    for (const std::string path : {"/once-events/poison", "/events/poison"})
    {
        CAPTURE(path);
        poisoned_entry entry("events");
        for (int sending = 0; sending < 10; ++sending)
            entry.ask_again(path);
        CHECK(entry.ended <= most_ended);
    }
}

// Callers lose their requests to one that they never heard of.
// 1. Its pieces share a call with those of seven others. 2. The target ends.
// 3. All eight are made again, in one call, since they are due together, and
// end the next one, until all have lost as many.
TEST_CASE("a request that ends stage targets takes no others with it")
{
    poisoned_stage entry;
    std::vector<std::shared_ptr<serving_fixture::caller>> callers;
    for (const std::string id :
         {"h1", "h2", "h3", "poison1", "h4", "h5", "h6", "h7"})
    {
        callers.push_back(entry.connect());
        entry.send(*callers.back(),
                   request_text("/staged/" + id, id, "Pieces: 11\r\n"));
    }
    entry.settle();
    constexpr int targets = 4;
    for (int one = 0; one < targets; ++one)
        entry.add();
    for (int step = 0; step < 150; ++step)
    {
        entry.settle();
        entry.time.advance(20ms);
    }
    CHECK(entry.ended <= most_ended);
    for (const auto& one : callers)
    {
        CAPTURE(one->received);
        CHECK(has(one->received, "Id: poison1") != has(one->received, " 200 "));
    }
    // It is known now, whatever the id.
    const std::string again = entry.send_and_receive(
        request_text("/staged/poison1", "poison2", "Pieces: 11\r\n"));
    CHECK(has(again, " 503 "));
    CHECK(has(again, "quarantined"));
    CHECK(entry.ended <= most_ended);
}

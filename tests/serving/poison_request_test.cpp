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
            return {answer(id_of(request), "whole"), end::keep};
        ++ended;
        context->directory.note_gone(name, 100 + ended);
        add();
        return {"", end::reset};
    }

    /// Asks for \a path as another caller's sending would, a while later.
    std::string ask_again(const std::string& path)
    {
        time.advance(500ms);
        return ask(request(path, "r" + std::to_string(++asked)));
    }

    std::string service;
    std::size_t listed = 0;
    std::size_t ended = 0;
    std::size_t asked = 0;
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

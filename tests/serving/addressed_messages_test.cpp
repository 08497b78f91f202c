#include "support/complete_responses.hpp"

#include <doctest/doctest.h>

#include <algorithm>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

std::size_t count_of(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + part.size()))
        ++count;
    return count;
}

/// Whether the only addressee that \a request names is \a target.
bool names_only(const std::string& request, const std::string& target)
{
    return count_of(request, "\r\nTo: ") == 1 &&
           contains(request, "\r\nTo: " + target + "\r\n") &&
           count_of(request, "\r\nId: ") == 1;
}

/// An entry with targets of all kinds that execute only what names them, as far
/// as it names any. Each can be replaced by a target of another service that
/// gets its address before the entry's list says so.
struct addressing_entry : serving_fixture
{
    struct tested_target
    {
        std::string service;
        std::string id;
        std::string address;
        bool is_replaced = false;
        /// Ends so many answers to requests, calls or releases too soon.
        std::size_t failures = 0;
        scripted_target* target = nullptr;
    };

    void add(const std::string& service)
    {
        auto own = std::make_shared<tested_target>();
        own->service = service;
        own->id = "t" + std::to_string(targets.size() + 1);
        own->target = &add_target(
            service, [this, own](const std::string& request, std::size_t)
            { return respond(*own, request); });
        own->address = own->target->address();
        targets.push_back(own);
    }

    scripted_target::response respond(tested_target& own,
                                      const std::string& request)
    {
        unaddressed += names_only(request, own.id) ? 0 : 1;
        const std::string id = own.is_replaced ? "heir" : own.id;
        if (contains(request, "\r\nTo: ") &&
            !contains(request, "\r\nTo: " + id + "\r\n"))
            return {response_text(request_id_of(request), "",
                                  "421 Misdirected Request"),
                    end::keep};
        executed_by_heirs += own.is_replaced ? 1 : 0;
        if (own.failures > 0)
        {
            --own.failures;
            return {"", end::reset};
        }
        if (request.starts_with("HEAD"))
            return {response_text(request_id_of(request), ""), end::keep};
        return complete_response_of(own.service, own.address, request, results);
    }

    /// Sends a request of each kind, of which some are repeated, and releases
    /// results.
    void send_all_kinds()
    {
        const std::string forged = "To: t99\r\n";
        const std::string chunked = request_text(
            "/again/", "r4", "Transfer-Encoding: chunked\r\n" + forged);
        const std::string head = request_text("/again/", "r5", forged);
        for (const std::string& request :
             {request_text("/once/", "r1", forged),
              request_text("/again/", "r2", forged),
              request_text("/events/", "r3", forged),
              "POST" + chunked.substr(3) + "1\r\nb\r\n0\r\nTo: t98\r\n\r\n",
              "HEAD" + head.substr(3),
              request_text("/staged/", "r6", "Pieces: 21\r\n" + forged),
              request_text("/beside/", "r7", "Pieces: 111\r\n" + forged)})
        {
            const auto from = connect();
            send(*from, request);
            for (int step = 0; step < 60 && !is_answered(*from); ++step)
            {
                time.advance(20ms);
                settle();
            }
        }
        for (const auto& each : targets)
            if (each->service == "pieces")
                batcher->release("pieces", {each->address + "/99"});
        for (int step = 0; step < 10; ++step)
        {
            time.advance(50ms);
            settle();
        }
    }

    static bool is_answered(const caller& from)
    {
        return from.is_ended || contains(from.received, "whole") ||
               contains(from.received, "\r\n0\r\n\r\n") ||
               contains(from.received, "error");
    }

    std::size_t requests(const std::string& part) const
    {
        std::size_t count = 0;
        for (const auto& each : targets)
            count += static_cast<std::size_t>(std::count_if(
                each->target->requests().begin(),
                each->target->requests().end(),
                [&](const auto& sent) { return contains(sent, part); }));
        return count;
    }

    std::vector<std::shared_ptr<tested_target>> targets;
    std::size_t unaddressed = 0;
    std::size_t executed_by_heirs = 0;
    std::size_t results = 0;
};

} // namespace

// Guards against a kind of message that a target of another service executes.
TEST_CASE("every message to a target names that target and no other")
{
    addressing_entry entry;
    for (const char* service :
         {"plain", "plain", "events", "events", "pieces", "pieces"})
        entry.add(service);
    entry.send_all_kinds();
    for (const auto& target : entry.targets)
        target->failures = 1;
    entry.send_all_kinds();
    CHECK(entry.unaddressed == 0);
    for (const char* kind :
         {"GET /once/", "GET /again/", "GET /events/", "POST /again/",
          "HEAD /again/", "GET /staged/", "POST /make", "POST /let-go"})
    {
        CAPTURE(kind);
        CHECK(entry.requests(kind) >= 2);
    }
}

// Guards against work that the next owner of an address executes for another.
TEST_CASE("a target that took an address over executes nothing for the others")
{
    addressing_entry entry;
    for (const char* service : {"plain", "events", "pieces"})
        entry.add(service);
    entry.send_all_kinds();
    for (const auto& target : entry.targets)
        target->is_replaced = true;
    const std::size_t before = entry.requests("\r\n");
    entry.send_all_kinds();
    CHECK(entry.requests("\r\n") > before);
    CHECK(entry.executed_by_heirs == 0);
}

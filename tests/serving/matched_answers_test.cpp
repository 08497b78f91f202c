#include "serving/call_ids.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

/// Returns the value of the field "Id" of \a request, empty if it has none.
std::string id_of(const std::string& request)
{
    const std::size_t field = request.find("\r\nId: ");
    if (field == std::string::npos)
        return {};
    const std::size_t begin = field + 6;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

std::string body_of(const std::string& request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

/// Returns the own answer of a stage target to \a request: the results of a
/// call name the pieces that they are of.
std::string answer_to(const std::string& request, bool echoes = true)
{
    std::string results;
    if (request.find("/make") != std::string::npos)
        for (const char character : body_of(request))
            results += results.empty() || results.back() == '\n'
                           ? std::string("x/") + character
                           : std::string(1, character);
    return response_text(echoes ? id_of(request) : "", results);
}

/// An entry that calls one stage target, a job at a time.
struct calling_entry : serving_fixture
{
    explicit calling_entry(scripted_target::script script)
        : target(add_target("pieces", std::move(script)))
    {
    }

    /// Runs a job of eight pieces and returns whether it is completed with
    /// results of its own.
    bool is_served_own_results()
    {
        decision::stage_job job;
        job.request = "r" + std::to_string(++job_count);
        job.pieces = 8;
        job.due = job.expires = time.now() + 60s;
        std::optional<serving::job_outcome> outcome;
        batcher->add(
            "pieces", job,
            [&outcome](serving::job_outcome ended)
            {
                outcome = std::move(ended);
                return true;
            },
            [] { return true; }, [] {});
        for (int step = 0; step < 400 && !outcome; ++step)
            advance(20ms);
        REQUIRE(outcome);
        last_handles = outcome->handles;
        const std::string own = "x/" + job.request + ".";
        return outcome->status == decision::job_status::completed &&
               std::all_of(last_handles.begin(), last_handles.end(),
                           [&](const std::string& handle)
                           { return handle.starts_with(own); });
    }

    /// Releases the results of the last job.
    void release_results()
    {
        batcher->release("pieces", {target.address() + "/1"});
        advance(100ms);
    }

    void advance(serving::duration total)
    {
        time.advance(total);
        for (int step = 0; step < 5; ++step)
            loop.run_for(1ms);
    }

    scripted_target& target;
    std::size_t job_count = 0;
    std::vector<std::string> last_handles;
};

/// Answers requests; a copy of the answer to the request before comes ahead of
/// the answer to each request that \a is_doubled chooses.
scripted_target::script
repeating_script(std::function<bool(std::size_t)> is_doubled)
{
    return [before = std::string(), is_doubled](const std::string& request,
                                                std::size_t number) mutable
    {
        const std::string own = answer_to(request);
        const std::string first = is_doubled(number) ? before : std::string();
        before = own;
        scripted_target::response reply{first, end::keep};
        reply.repeated = own;
        reply.repeats = 1;
        reply.interval = 200ms;
        return reply;
    };
}

} // namespace

// Guards against results of one call that are taken for those of the next.
TEST_CASE("a second answer to a call is not taken for the next call's answer")
{
    calling_entry entry(
        repeating_script([](std::size_t number) { return number > 0; }));
    for (int job = 0; job < 4; ++job)
        CHECK(entry.is_served_own_results());
    CHECK(entry.target.requests().size() == 4);
    CHECK(entry.target.connections() == 1);
}

// Guards against results of others after a release was answered twice: its
// second answer is unreadable as that of a call, whose own is still to come.
TEST_CASE("a second answer to a release is not taken for a call's answer")
{
    calling_entry entry(
        repeating_script([](std::size_t number) { return number == 2; }));
    CHECK(entry.is_served_own_results());
    entry.release_results();
    entry.advance(300ms);
    REQUIRE(entry.target.requests().size() == 2);
    for (int job = 0; job < 3; ++job)
        CHECK(entry.is_served_own_results());
    CHECK(entry.target.requests().size() == 5);
}

// Guards against the next call getting what a target still sends after an
// answer that could not be used.
TEST_CASE("after an answer that can't be read a connection is closed")
{
    for (const char* results : {"unreadable\n", "x/one\n"})
    {
        calling_entry entry(
            [results](const std::string& request, std::size_t number)
            {
                return scripted_target::response{
                    number == 0 ? response_text(id_of(request), results)
                                : answer_to(request),
                    end::keep};
            });
        CHECK(entry.is_served_own_results());
        CHECK(entry.target.requests().size() == 2);
        CHECK(entry.target.connections() == 2);
    }
}

// Guards against a late answer without an id, of a target that sends ids, that
// is taken for the present one.
TEST_CASE("once a target has sent ids an answer without one is refused")
{
    calling_entry entry(
        [](const std::string& request, std::size_t number)
        {
            return scripted_target::response{
                answer_to(number == 1 ? "POST /make\r\n\r\nr1.0.0\n" : request,
                          number != 1),
                end::keep};
        });
    CHECK(entry.is_served_own_results());
    CHECK(entry.is_served_own_results());
    CHECK(entry.target.requests().size() == 3);
    CHECK(entry.target.connections() == 2);
}

// Guards against callers that lose targets which never repeat ids.
TEST_CASE("targets that send no ids are served on kept connections")
{
    calling_entry entry(
        [](const std::string& request, std::size_t) {
            return scripted_target::response{answer_to(request, false),
                                             end::keep};
        });
    for (int job = 0; job < 3; ++job)
        CHECK(entry.is_served_own_results());
    CHECK(entry.target.connections() == 1);
}

// Guards against a call whose answer is mistaken since an entry with the same
// target, or the one before a restart, used the same id.
TEST_CASE("no two calls of any entry have the same id")
{
    serving::call_ids first(7);
    serving::call_ids restarted(8);
    std::set<std::string> ids;
    for (int call = 0; call < 20; ++call)
    {
        CHECK(ids.insert(first.next()).second);
        CHECK(ids.insert(restarted.next()).second);
    }
}

// Guards against a caller that gets the answer of another one, as it has no id.
TEST_CASE("no answer without an id is passed on once its target has sent ids")
{
    serving_fixture entry;
    auto& target = entry.add_target(
        "plain",
        [](const std::string& request, std::size_t number)
        {
            const std::string id = number == 0 ? id_of(request) : "";
            return scripted_target::response{response_text(id, "late"),
                                             end::keep};
        });
    const auto ask = [&entry](const std::string& id)
    { return entry.send_and_receive(request_text("/once/x", id)); };
    CHECK(ask("r1").starts_with("HTTP/1.1 200"));
    CHECK(ask("r2").starts_with("HTTP/1.1 502"));
    CHECK(target.requests().size() == 2);
    CHECK(target.connections() == 1);
}

// Guards against a caller that sets, by a trailer, what the entry trusts.
TEST_CASE("the trailer of a request sets no header of the forwarded one")
{
    serving_fixture entry;
    auto& target =
        entry.add_target("plain",
                         [](const std::string& request, std::size_t)
                         {
                             return scripted_target::response{
                                 response_text(id_of(request), "a"), end::keep};
                         });
    const std::string chunked =
        request_text("/once/x", "r1", "Transfer-Encoding: chunked\r\n");
    CHECK(entry
              .send_and_receive("POST" + chunked.substr(3) +
                                "1\r\nb\r\n0\r\nX-Late: 1\r\nAfter: 9\r\n"
                                "Id: r2\r\n\r\n")
              .starts_with("HTTP/1.1 200"));
    REQUIRE(target.requests().size() == 1);
    const std::string& forwarded = target.requests().front();
    CHECK(id_of(forwarded) == "r1");
    CHECK(forwarded.find("Id: r2") == std::string::npos);
    CHECK(forwarded.find("X-Late") == std::string::npos);
    CHECK(forwarded.find("After") == std::string::npos);
    CHECK(body_of(forwarded) == "b");
}

// Guards against an entry that opens connections in series, or calls again what
// was done, when a target answers 3 in 100 calls twice.
TEST_CASE("a late second answer costs a connection only if that was idle")
{
    constexpr std::size_t calls = 200;
    constexpr std::size_t period = 33;
    calling_entry entry(
        [&](const std::string& request, std::size_t number)
        {
            scripted_target::response reply{answer_to(request), end::keep};
            if (number % period != period - 1)
                return reply;
            reply.repeated = reply.bytes;
            reply.repeats = 1;
            reply.interval = 50ms;
            return reply;
        });
    std::size_t served = 0;
    std::size_t idle = 0;
    for (std::size_t call = 0; call < calls; ++call)
    {
        served += entry.is_served_own_results();
        const bool is_doubled = call % period == period - 1;
        if (!is_doubled || call / period % 2 > 0)
            continue;
        ++idle;
        entry.time.advance(60ms);
        // On a busy machine, the second answer takes long to arrive.
        constexpr int rounds = 10;
        for (int round = 0; round < rounds; ++round)
            entry.settle();
    }
    MESSAGE("connections: ", entry.target.connections(), ", served: ", served,
            ", calls: ", entry.target.requests().size());
    CHECK(served == calls);
    CHECK(entry.target.requests().size() == calls);
    CHECK(entry.target.connections() == 1 + idle);
}

// Guards against a target that executes what was sent to the one before it at
// the same address.
TEST_CASE("calls and releases name the target that they are for")
{
    calling_entry entry(
        [](const std::string& request, std::size_t) {
            return scripted_target::response{answer_to(request), end::keep};
        });
    CHECK(entry.is_served_own_results());
    entry.release_results();
    REQUIRE(entry.target.requests().size() == 2);
    for (const std::string& request : entry.target.requests())
        CHECK(request.find("\r\nTo: t1\r\n") != std::string::npos);
}

// Guards against results that are released at another target since the one
// that has the address of their producer refused to.
TEST_CASE("a release that another target refuses is dropped")
{
    calling_entry entry(
        [](const std::string& request, std::size_t)
        {
            const bool is_release =
                request.find("/let-go") != std::string::npos;
            return scripted_target::response{
                is_release ? response_text("", "", "421 Misdirected Request")
                           : answer_to(request),
                end::keep};
        });
    auto& other = entry.add_target(
        "pieces",
        [](const std::string& request, std::size_t) {
            return scripted_target::response{answer_to(request), end::keep};
        });
    entry.release_results();
    entry.advance(1s);
    CHECK(entry.context->metrics.count(
              {"releases", runtime::label("how", "misdirected")}) == 1);
    CHECK(entry.target.requests().size() == 1);
    CHECK(other.requests().empty());
}

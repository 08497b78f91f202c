#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

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

} // namespace

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

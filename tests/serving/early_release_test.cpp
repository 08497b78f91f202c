#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::decision;
using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

const std::string staged_request =
    request_text("/staged/", "r1", "Pieces: 11\r\n");

/// An entry with one target for the stages and two engines, which run
/// \a engine_script and state free slots.
struct staged_entry : serving_fixture
{
    explicit staged_entry(const scripted_target::script& engine_script)
        : producer(add_target(
              "pieces",
              [this](const std::string& text, std::size_t)
              {
                  if (text.find("/let-go") != std::string::npos)
                  {
                      ++releases;
                      return scripted_target::response{response_text("", ""),
                                                       end::keep};
                  }
                  return scripted_target::response{
                      response_text("", "x/" + std::to_string(++calls) + "\n"),
                      end::keep};
              }))
    {
        for (const char* id : {"t2", "t3"})
        {
            add_target("events", engine_script);
            context->input_release.note_load(id, {0, 0, 4, {}}, time.now());
        }
    }

    std::uint64_t count(const std::string& name, const std::string& labels = {})
    {
        return context->metrics.count({name, labels});
    }

    std::size_t calls = 0;
    std::size_t releases = 0;
    scripted_target& producer;
};

scripted_target::response one_event()
{
    return {"HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
            "10\r\nid: 1\ndata: e1\n\n\r\n0\r\n\r\n",
            end::keep};
}

} // namespace

// Guards against targets that make no calls since results fill their memory
// until the first event of the answer, up to two seconds after the engine has
// fetched them.
TEST_CASE("results are released once an engine with free slots has them")
{
    std::size_t sent = 0;
    staged_entry entry(
        [&sent](const std::string&, std::size_t)
        {
            ++sent;
            return scripted_target::response{"", end::hang};
        });
    const auto caller = entry.connect();
    entry.send(*caller, staged_request);
    entry.run_until([&] { return sent == 1; });
    entry.settle();
    CHECK(entry.count("results_released_early") == 0);
    entry.time.advance(39ms);
    entry.settle();
    CHECK(entry.count("results_released_early") == 0);
    entry.time.advance(10ms);
    entry.settle();
    CHECK(entry.count("results_released_early") == 1);
}

TEST_CASE("results for an engine that states no load are kept")
{
    std::size_t sent = 0;
    staged_entry entry(
        [&sent](const std::string&, std::size_t)
        {
            ++sent;
            return scripted_target::response{"", end::hang};
        });
    entry.time.advance(1500ms); // The statements are old.
    const auto caller = entry.connect();
    entry.send(*caller, staged_request);
    entry.run_until([&] { return sent == 1; });
    entry.time.advance(300ms);
    entry.settle();
    CHECK(entry.count("results_released_early") == 0);
}

namespace
{

/// Sends a request, and returns the answer, 100 ms after it was first sent to
/// an engine.
std::string answer_after(staged_entry& entry, std::size_t& sent)
{
    const auto caller = entry.connect();
    entry.send(*caller, staged_request);
    entry.run_until([&] { return sent == 1; });
    entry.settle();
    entry.time.advance(50ms);
    entry.settle();
    entry.time.advance(50ms);
    entry.run_until(
        [&]
        { return caller->received.find("0\r\n\r\n") != std::string::npos; });
    return caller->received;
}

/// Returns a script that answers \a first late, and then serves requests.
scripted_target::script then_serve(std::size_t& sent, std::string first)
{
    return [&sent, first](const std::string&, std::size_t)
    {
        return ++sent == 1 ? scripted_target::response{first, end::keep, 100ms}
                           : one_event();
    };
}

} // namespace

// Guards against a request that fails since its results were released before
// the engine had fetched them, and against an engine for which that happens
// again and again.
TEST_CASE("stages run again once if results were released too early")
{
    std::size_t sent = 0;
    staged_entry entry(then_serve(
        sent, response_text("r1", "", "409 Gone", "Not-Run: 1\r\n")));
    CHECK(answer_after(entry, sent).find("data: e1") != std::string::npos);
    CHECK(sent == 2);
    CHECK(entry.calls == 4);
    CHECK(entry.count("results_released_early") == 1);
    CHECK(entry.count("stages_run_again",
                      runtime::label("why", "released_early")) == 1);
    const instant now = entry.time.now();
    const auto& rule = entry.context->input_release;
    CHECK(rule.may_release_early("t2", now) !=
          rule.may_release_early("t3", now));
}

// Guards against a second engine that gets a request without its inputs: the
// first one refused the request after they had been released.
TEST_CASE("stages run again if an engine refuses after an early release")
{
    std::size_t sent = 0;
    staged_entry entry(then_serve(
        sent, response_text("r1", "", "503 Full", "Not-Run: 1\r\n")));
    CHECK(answer_after(entry, sent).find("data: e1") != std::string::npos);
    CHECK(entry.calls == 4);
    CHECK(entry.count("stages_run_again",
                      runtime::label("why", "released_early")) == 1);
}

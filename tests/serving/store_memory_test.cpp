#include "support/counted_memory.hpp"
#include "support/paged_source.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

constexpr std::size_t memory_bytes = 64'000'000;
constexpr std::size_t request_bytes = 30'000'000;

/// An entry whose source answers the first requests with bytes without end.
struct flooded_entry : serving_fixture
{
    flooded_entry()
        : serving_fixture(memory_bytes),
          source(loop, [this](const std::string& request, std::size_t number)
                 { return respond(request, number); }),
          pages(loop), reader(*context, dialect)
    {
        const std::string address = source.address();
        context->settings.source_address = runtime::address::parse(address);
        context->settings.max_configuration_delay = 3s;
        context->catalog = nullptr;
        context->has_some_targets = false;
        context->directory = {};
        pages.is_changing = true;
        spawn(loop, reader.run());
    }

    scripted_target::response respond(const std::string& request,
                                      std::size_t number)
    {
        constexpr std::size_t endless_answers = 2;
        if (number >= endless_answers)
            return {pages.answer(request), end::keep};
        scripted_target::response reply{
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", end::hang};
        reply.repeated = "4000\r\n" + std::string(0x4000, 'a') + "\r\n";
        return reply;
    }

    scripted_target source;
    paged_source pages;
    paged_dialect dialect;
    source_reader reader;
};

} // namespace

// Guards against a process that runs out of memory since the answers of a
// faulty store come on top of what callers' bodies take.
TEST_CASE("answers of the store draw from the memory of all bodies")
{
    flooded_entry entry;
    const std::size_t before = allocated_bytes();
    reset_peak();
    const std::string bodies(request_bytes, 'b');
    REQUIRE(entry.context->bodies.account().grow_request(request_bytes));
    for (int step = 0; step < 400 && !entry.context->has_all_targets; ++step)
    {
        entry.time.advance(50ms);
        for (int turn = 0; turn < 5; ++turn)
            entry.loop.run_for(1ms);
    }
    CAPTURE(peak_bytes() - before);
    CHECK(peak_bytes() - before < memory_bytes);
    CHECK(entry.context->has_all_targets);
}

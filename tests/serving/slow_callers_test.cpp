#include "support/complete_responses.hpp"
#include "support/counted_memory.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;
using serving::tcp;
using end = scripted_target::response::connection_action;

namespace
{

constexpr std::size_t memory_bytes = 64'000'000;
constexpr std::size_t block_bytes = 40'000;
constexpr std::size_t blocks = 100;
constexpr std::size_t body_bytes = blocks * block_bytes;

/// An entry with targets whose answers are long, and callers that read nothing
/// until they are told to.
struct slow_callers : serving_fixture
{
    slow_callers() : serving_fixture(memory_bytes) {}

    void add_caller()
    {
        add_target("plain",
                   [this](const std::string& request, std::size_t)
                   {
                       scripted_target::response reply{
                           "HTTP/1.1 200 OK\r\nSeal: s\r\nId: " +
                               request_id_of(request) + "\r\nContent-Length: " +
                               std::to_string(body_bytes) + "\r\n\r\n",
                           end::keep};
                       reply.repeated = block;
                       reply.repeats = blocks;
                       return reply;
                   });
        callers.emplace_back(loop, tcp::v4());
        // What the system's buffers hold takes no memory of the entry.
        callers.back().set_option(
            serving::asio::socket_base::receive_buffer_size(4096));
        callers.back().connect(
            {serving::asio::ip::address_v4::loopback(), server->port()});
        serving::asio::write(callers.back(),
                             serving::asio::buffer(request_text(
                                 "/once/", "r" + std::to_string(callers.size()),
                                 "Connection: close\r\n")));
    }

    /// Reads what \a from gets. Returns whether it is a whole answer.
    bool reads_whole_answer(tcp::socket& from)
    {
        std::string received;
        bool is_ended = false;
        serving::spawn(loop, read(from, received, is_ended));
        run_until([&is_ended] { return is_ended; });
        const std::size_t body = received.find("\r\n\r\n") + 4;
        return received.starts_with("HTTP/1.1 200") &&
               received.size() == body + body_bytes;
    }

    static serving::awaitable<void> read(tcp::socket& from,
                                         std::string& received, bool& is_ended)
    {
        std::array<char, 65536> chunk{};
        serving::error_code fault;
        while (!fault)
        {
            const std::size_t count = co_await from.async_read_some(
                serving::asio::buffer(chunk), serving::store_error_in(fault));
            received.append(chunk.data(), count);
        }
        is_ended = true;
    }

    const std::string block = std::string(block_bytes, 'a');
    std::vector<tcp::socket> callers;
};

} // namespace

// Guards against an entry that runs out of memory since callers read the
// answers of sound targets slowly.
TEST_CASE("answers that callers do not read stay within the memory limit")
{
    slow_callers entry;
    constexpr int callers = 40;
    entry.callers.reserve(callers);
    entry.settle();
    const std::size_t before = allocated_bytes();
    reset_peak();
    for (int caller = 0; caller < callers; ++caller)
        entry.add_caller();
    for (int step = 0; step < 1500; ++step)
        entry.loop.run_for(1ms);
    CAPTURE(peak_bytes() - before);
    CHECK(peak_bytes() - before < memory_bytes);
    int whole = 0;
    for (tcp::socket& caller : entry.callers)
        whole += entry.reads_whole_answer(caller) ? 1 : 0;
    CHECK(whole >= 5);
}

// Guards against an entry that runs out of memory since many engines send
// events that do not end.
TEST_CASE("incomplete events of many streams stay within the memory limit")
{
    constexpr std::size_t few_bytes = 40'000'000;
    serving_fixture entry(few_bytes);
    constexpr int streams = 200;
    const std::string part(4096, 'a');
    std::size_t begun = 0;
    for (int engine = 0; engine < streams; ++engine)
        entry.add_target("events",
                         [&](const std::string& request, std::size_t)
                         {
                             ++begun;
                             scripted_target::response reply{
                                 "HTTP/1.1 200 OK\r\nSeal: s\r\nId: " +
                                     request_id_of(request) +
                                     "\r\nContent-Length: 9000000\r\n\r\n",
                                 end::hang};
                             reply.repeated = part;
                             reply.repeats = 61;
                             return reply;
                         });
    entry.settle();
    const std::size_t before = allocated_bytes();
    reset_peak();
    std::vector<std::shared_ptr<serving_fixture::caller>> callers;
    for (int stream = 0; stream < streams; ++stream)
    {
        callers.push_back(entry.connect());
        entry.send(*callers.back(),
                   request_text("/once-events/", "r" + std::to_string(stream)));
    }
    for (int step = 0; step < 1500; ++step)
        entry.loop.run_for(1ms);
    CHECK(begun == streams);
    CAPTURE(peak_bytes() - before);
    CHECK(peak_bytes() - before < few_bytes);
}

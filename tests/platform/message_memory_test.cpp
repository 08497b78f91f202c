#include "platform/request_dialect.hpp"
#include "platform/store_dialect.hpp"
#include "serving/message_metadata.hpp"
#include "support/counted_memory.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <functional>

using namespace mangofold;
using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t message_bytes = 8'000'000;
/// Of the values of one message, however few bytes each takes there.
constexpr std::size_t max_value_bytes = 40'000'000;

/// Returns a message that \a begin begins and \a repeated fills.
std::string message(const std::string& begin, const std::string& repeated)
{
    std::string text = begin;
    text.reserve(message_bytes + begin.size() + repeated.size());
    while (text.size() < message_bytes)
        text += repeated;
    return text;
}

std::vector<std::string> faulty_messages(const std::string& begin)
{
    return {message(begin, "0,"),
            message(begin, "[],"),
            message(begin, "{\"a\":0},"),
            message(begin + "{", "\"a\":0,"),
            message(begin, "\"a\","),
            message(begin + "\"", "a"),
            message(begin + "\"", "\xff"),
            message(begin, "\x01"),
            message(begin + "\"", "\\ud800")};
}

/// Returns the memory that \a parse takes at most.
std::size_t memory_of(const std::function<void()>& parse)
{
    const std::size_t before = allocated_bytes();
    reset_peak();
    try
    {
        parse();
    }
    catch (const serving::invalid_message&)
    {
    }
    return peak_bytes() - before;
}

} // namespace

// Guards against a process that runs out of memory since values of two bytes in
// a page of the store or in the results of a call take much more once parsed.
TEST_CASE("a parsed message takes a few times the memory of its bytes at most")
{
    constexpr std::size_t most = 3 * message_bytes + max_value_bytes;
    const platform::store_dialect store;
    const platform::request_dialect requests;
    for (const std::string& page : faulty_messages("{\"items\":["))
    {
        CAPTURE(page.substr(0, 30));
        CHECK(memory_of([&] { store.parse_targets(page); }) < most);
        CHECK(memory_of([&] { requests.parse_piece_results(page); }) < most);
    }
    for (const std::string& page : faulty_messages("{\"events\":["))
    {
        CAPTURE(page.substr(0, 30));
        CHECK(memory_of([&] { store.parse_changes(page); }) < most);
    }
}

// Guards against an entry that stands still while it reads a long page of bytes
// that JSON does not permit.
TEST_CASE("a page of bytes that are no JSON is refused in a short time")
{
    const platform::store_dialect store;
    for (const std::string& page : faulty_messages("{\"items\":["))
    {
        CAPTURE(page.substr(0, 30));
        const auto began_at = std::chrono::steady_clock::now();
        memory_of([&] { store.parse_targets(page); });
        CHECK(std::chrono::steady_clock::now() < began_at + 1s);
    }
}

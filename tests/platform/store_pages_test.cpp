#include "platform/store_dialect.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <charconv>

using namespace mangofold;

namespace
{

constexpr std::string_view request_before_key =
    "/api/kv-range?prefix=servers/&after=";

/// Returns the value that a server reads from \a text of a query.
std::string decoded(std::string_view text)
{
    std::string value;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (text[at] != '%')
        {
            value += text[at] == '+' ? ' ' : text[at];
            continue;
        }
        RC_ASSERT(at + 2 < text.size());
        unsigned byte = 0;
        std::from_chars(text.data() + at + 1, text.data() + at + 3, byte, 16);
        value += static_cast<char>(byte);
        at += 2;
    }
    return value;
}

/// Whether \a text is the value of one parameter of a request line.
bool is_one_value(std::string_view text)
{
    return text.find_first_of(" &#?=\r\n") == std::string_view::npos &&
           std::all_of(text.begin(), text.end(),
                       [](char c) { return c > ' ' && c < '\x7f'; });
}

/// Generates keys of up to 200 bytes, many with characters that have a meaning
/// in a request line.
rc::Gen<std::string> key()
{
    const auto byte = rc::gen::oneOf(
        rc::gen::arbitrary<char>(),
        rc::gen::element(' ', '%', '&', '#', '+', '?', '=', '\r', '\n', 'a'));
    return rc::gen::mapcat(rc::gen::inRange(1, 201),
                           [byte](int size)
                           {
                               return rc::gen::container<std::string>(
                                   static_cast<std::size_t>(size), byte);
                           });
}

} // namespace

// Guards against an entry that follows the source no longer: the last key of a
// page had a space, and the request for the next page was malformed.
TEST_CASE("the store reads any key as it was written")
{
    const platform::store_dialect store;
    CHECK(rc::check(
        [&]
        {
            const std::string last_key = "servers/" + *key();
            const std::string target(store.targets_request(last_key).target());
            RC_ASSERT(target.starts_with(request_before_key));
            const auto sent =
                std::string_view(target).substr(request_before_key.size());
            RC_ASSERT(is_one_value(sent));
            RC_ASSERT(decoded(sent) == last_key);
        }));
}

#include "platform/store_dialect.hpp"
#include "serving/message_metadata.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <nlohmann/json.hpp>

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

namespace
{

/// Generates items of a page that name nothing.
rc::Gen<std::string> foreign_item()
{
    return rc::gen::element<std::string>(
        "3", "null", "[]", "{}", R"({"rev":1})", R"({"key":3,"rev":1})",
        R"({"key":"servers/x","rev":-1})", R"({"key":"servers/x","rev":"1"})",
        R"({"key":"op/config","value":3,"rev":1})",
        R"({"key":"op/evacuate/","rev":[]})",
        R"({"key":"servers/x","rev":1,"removed":"no"})");
}

/// Generates ends of keys that JSON can't hold, as a writer of JSON that does
/// not check them prints them.
rc::Gen<std::string> unsound_text()
{
    return rc::gen::container<std::string>(rc::gen::oneOf(
        rc::gen::elementOf(std::string("\x80\xbf\xc3\xe2\xf0\xff\n\t\x01")),
        rc::gen::just('a')));
}

/// Returns a page of \a items and the readable target i-1.
std::string page_of(const std::vector<std::string>& items)
{
    std::string text = R"({"items":[)";
    for (const std::string& item : items)
        text += item + ",";
    return text + R"({"key":"servers/i-1","value":"e30=","rev":7}],)"
                  R"("more_pages":true,"current_rev":9})";
}

void check_sound_item(const serving::source_page& page)
{
    RC_ASSERT(page.has_more);
    RC_ASSERT(page.revision == 9U);
    RC_ASSERT(page.last_key == "servers/i-1");
    RC_ASSERT(!page.changes.empty());
    RC_ASSERT(page.changes.back().target.incarnation.id == "i-1");
}

} // namespace

// Guards against an entry that reads a page again for ever because one item in
// it is not as the store describes items.
TEST_CASE("items that name nothing are skipped and counted")
{
    const platform::store_dialect store;
    CHECK(rc::check(
        [&]
        {
            const auto items =
                *rc::gen::container<std::vector<std::string>>(foreign_item());
            const auto page = store.parse_targets(page_of(items));
            check_sound_item(page);
            RC_ASSERT(page.skipped_items == items.size());
            RC_ASSERT(page.changes.size() == 1U);
        }));
}

// Guards against the same because of a key that is no UTF-8.
TEST_CASE("a key that JSON can't hold affects no other item")
{
    const platform::store_dialect store;
    CHECK(rc::check(
        [&]
        {
            const std::string end = *unsound_text();
            check_sound_item(store.parse_targets(
                page_of({R"({"key":"servers/h)" + end + R"(","rev":3})"})));
        }));
    for (const char* escape : {"\\udcff", "\\ud800", "\\ud800\\u0041"})
        CHECK_NOTHROW(store.parse_targets(page_of(
            {R"({"key":"servers/h)" + std::string(escape) + R"(","rev":3})"})));
    const auto page = store.parse_targets(
        "{\"items\":[{\"key\":\"a\\ud83d\\ude00\\\\udcff\xff\",\"rev\":1}],"
        "\"current_rev\":9}");
    CHECK(page.last_key == "a\xf0\x9f\x98\x80\\udcff ");
}

// Guards against a part of an answer with neither a length nor chunks, whose
// sender was killed: it must not be read as a shorter page.
TEST_CASE("no part of an answer of the store is read as a whole one")
{
    const platform::store_dialect store;
    const std::string item =
        R"({"key":"servers/i-1","value":"e30=","rev":12},)"
        R"({"key":"op/config","value":"e30=","rev":13,"removed":true})";
    const std::string page =
        R"({"items":[)" + item + R"(],"more_pages":true,"current_rev":30})";
    const std::string changes =
        R"({"current_rev":30,"events":[)" + item + R"(]})";
    for (std::size_t size = 0; size < page.size(); ++size)
    {
        CAPTURE(size);
        const std::string part = page.substr(0, size);
        CHECK_THROWS_AS(store.parse_targets(part), serving::invalid_message);
        CHECK_THROWS_AS(store.parse_declarations(part),
                        serving::invalid_message);
    }
    for (std::size_t size = 0; size < changes.size(); ++size)
        CHECK_THROWS_AS(store.parse_changes(changes.substr(0, size)),
                        serving::invalid_message);
    CHECK(store.parse_targets(page).changes.size() == 2);
    CHECK(store.parse_changes(changes).changes.size() == 2);
}

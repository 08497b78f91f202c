#include "platform/store_dialect.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

using namespace mangofold;
using nlohmann::json;
using serving::record_fault;
using kind = serving::source_change::record_kind;

namespace
{

json valid_entry()
{
    return {{"backend", "s"},       {"address", "10.0.0.1:80"},
            {"zone", "a"},          {"version", "v1"},
            {"capacity", 6},        {"state", "ready"},
            {"sequence", 4},        {"warmup_left_ms", 0},
            {"born", 1774835228000}};
}

std::string encoded(const std::string& text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string encoded_text(base64::encoded_size(text.size()), '\0');
    encoded_text.resize(
        base64::encode(encoded_text.data(), text.data(), text.size()));
    return encoded_text;
}

json item(const std::string& id, const std::string& text)
{
    return {{"key", "servers/" + id}, {"value", encoded(text)}, {"rev", 7}};
}

/// Returns the changes parsed from a page with three items, of which the second
/// holds \a text under the key of \a id.
std::vector<serving::source_change>
changes_of_page(const std::string& text, const std::string& id = "i-2")
{
    const json page{{"items",
                     {item("i-1", valid_entry().dump()), item(id, text),
                      item("i-3", valid_entry().dump())}},
                    {"current_rev", 9}};
    return platform::store_dialect().parse_targets(page.dump()).changes;
}

record_fault fault_of(const std::string& text, const std::string& id = "i-2")
{
    const auto changes = changes_of_page(text, id);
    REQUIRE(changes.size() == 3);
    // The other items of the page are not affected.
    CHECK(changes[0].kind == kind::target);
    CHECK(changes[2].kind == kind::target);
    CHECK(changes[2].target.address == "10.0.0.1:80");
    if (changes[1].kind == kind::target)
        return record_fault::none;
    CHECK(changes[1].kind == kind::target_unreadable);
    CHECK(changes[1].target.incarnation.id == id);
    CHECK(changes[1].revision == 7);
    return changes[1].fault;
}

record_fault fault_with_field(const char* name, const json& value)
{
    json entry = valid_entry();
    entry[name] = value;
    return fault_of(entry.dump());
}

} // namespace

// Guards against requests of a whole service that fail with "no target", and
// against an entry process that ends. A client other than a target wrote an
// unreadable entry into the list, and each read discarded the whole page.
TEST_CASE("an unreadable entry does not affect other entries of its page")
{
    CHECK(fault_of(valid_entry().dump()) == record_fault::none);
    CHECK(fault_of("") == record_fault::bytes);
    CHECK(fault_of("\xff\xfe{") == record_fault::bytes);
    CHECK(fault_of("[1,2]") == record_fault::bytes);
    CHECK(fault_of(valid_entry().dump().substr(0, 60)) == record_fault::bytes);
    CHECK(fault_with_field("state", "sleeping") == record_fault::state);
    CHECK(fault_with_field("address", "somewhere") == record_fault::address);
    CHECK(fault_with_field("address", "10.0.0.1:99999") ==
          record_fault::address);
    for (const char* name : {"backend", "address", "zone", "version",
                             "capacity", "state", "sequence", "warmup_left_ms"})
    {
        CAPTURE(name);
        json entry = valid_entry();
        entry.erase(name);
        CHECK(fault_of(entry.dump()) == record_fault::fields);
        CHECK(fault_with_field(name, nullptr) == record_fault::fields);
        CHECK(fault_with_field(name, json::array()) == record_fault::fields);
    }
    for (const json& value : {json("12"), json(-3), json(1.5)})
    {
        CHECK(fault_with_field("born", value) == record_fault::fields);
        CHECK(fault_with_field("capacity", value) == record_fault::fields);
    }
    CHECK(fault_with_field("capacity", 0) == record_fault::fields);
    CHECK(fault_with_field("capacity", 1ULL << 40U) == record_fault::fields);
}

TEST_CASE("an entry without a start time or with unknown fields is valid")
{
    json entry = valid_entry();
    entry.erase("born");
    entry["new_field"] = "any";
    CHECK(fault_of(entry.dump()) == record_fault::none);
}

// Guards against header injection: a target got a header that no caller sent.
TEST_CASE("a target id that could end a header line is refused")
{
    CHECK(fault_of(valid_entry().dump(), "i-2\r\nX: y") ==
          record_fault::fields);
    CHECK(fault_of(valid_entry().dump(), "i 2") == record_fault::fields);
    CHECK(fault_of(valid_entry().dump(), "") == record_fault::fields);
}

TEST_CASE("an entry whose value is not a string is unreadable")
{
    json item_without_text = item("i-2", "");
    item_without_text["value"] = 3;
    const json page{
        {"events", {item_without_text, item("i-3", valid_entry().dump())}},
        {"current_rev", 9}};
    const auto changes =
        platform::store_dialect().parse_changes(page.dump()).changes;
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].kind == kind::target_unreadable);
    CHECK(changes[0].fault == record_fault::bytes);
    CHECK(changes[1].kind == kind::target);
}

TEST_CASE("a page is parsed whatever bytes an entry holds")
{
    CHECK(rc::check(
        [](const std::vector<char>& bytes)
        {
            const auto changes =
                changes_of_page(std::string(bytes.begin(), bytes.end()));
            RC_ASSERT(changes.size() == 3U);
            RC_ASSERT(changes[1].kind == kind::target_unreadable);
            RC_ASSERT(changes[2].kind == kind::target);
        }));
    // The same for a valid entry with one byte changed.
    CHECK(rc::check(
        [](std::size_t at, char byte)
        {
            std::string text = valid_entry().dump();
            text[at % text.size()] = byte;
            const auto changes = changes_of_page(text);
            RC_ASSERT(changes.size() == 3U);
            RC_ASSERT(changes[2].kind == kind::target);
        }));
}

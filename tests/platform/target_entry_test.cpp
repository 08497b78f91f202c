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

json good()
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
    std::string made(base64::encoded_size(text.size()), '\0');
    made.resize(base64::encode(made.data(), text.data(), text.size()));
    return made;
}

json item(const std::string& id, const std::string& text)
{
    return {{"key", "servers/" + id}, {"value", encoded(text)}, {"rev", 7}};
}

/// Returns what a page says whose second item holds \a text.
std::vector<serving::source_change> page_with(const std::string& text,
                                              const std::string& id = "i-2")
{
    const json page{{"items",
                     {item("i-1", good().dump()), item(id, text),
                      item("i-3", good().dump())}},
                    {"current_rev", 9}};
    return platform::store_dialect().parse_targets(page.dump()).changes;
}

record_fault fault_of(const std::string& text, const std::string& id = "i-2")
{
    const auto changes = page_with(text, id);
    REQUIRE(changes.size() == 3);
    // Whatever stands beside it holds.
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

record_fault fault_with(const char* name, const json& value)
{
    json entry = good();
    entry[name] = value;
    return fault_of(entry.dump());
}

} // namespace

// Callers get "no target" from a whole service, or an entry ends.
// 1. Somebody else writes an entry into the list. 2. It cannot be read as a
// target. 3. The whole page was thrown away with it, again and again.
TEST_CASE("an entry that names no target leaves all others as they are")
{
    CHECK(fault_of(good().dump()) == record_fault::none);
    CHECK(fault_of("") == record_fault::bytes);
    CHECK(fault_of("\xff\xfe{") == record_fault::bytes);
    CHECK(fault_of("[1,2]") == record_fault::bytes);
    CHECK(fault_of(good().dump().substr(0, 60)) == record_fault::bytes);
    CHECK(fault_with("state", "sleeping") == record_fault::state);
    CHECK(fault_with("address", "somewhere") == record_fault::address);
    CHECK(fault_with("address", "10.0.0.1:99999") == record_fault::address);
    for (const char* name : {"backend", "address", "zone", "version",
                             "capacity", "state", "sequence", "warmup_left_ms"})
    {
        CAPTURE(name);
        json entry = good();
        entry.erase(name);
        CHECK(fault_of(entry.dump()) == record_fault::fields);
        CHECK(fault_with(name, nullptr) == record_fault::fields);
        CHECK(fault_with(name, json::array()) == record_fault::fields);
    }
    for (const json& value : {json("12"), json(-3), json(1.5)})
    {
        CHECK(fault_with("born", value) == record_fault::fields);
        CHECK(fault_with("capacity", value) == record_fault::fields);
    }
    CHECK(fault_with("capacity", 0) == record_fault::fields);
    CHECK(fault_with("capacity", 1ULL << 40U) == record_fault::fields);
}

TEST_CASE("an entry without the time of its start is one of a target")
{
    json entry = good();
    entry.erase("born");
    entry["new_field"] = "any";
    CHECK(fault_of(entry.dump()) == record_fault::none);
}

// A target sees a header that no caller sent.
TEST_CASE("an id that could end a header's line names no target")
{
    CHECK(fault_of(good().dump(), "i-2\r\nX: y") == record_fault::fields);
    CHECK(fault_of(good().dump(), "i 2") == record_fault::fields);
    CHECK(fault_of(good().dump(), "") == record_fault::fields);
}

TEST_CASE("a value that is no text names no target")
{
    json bad = item("i-2", "");
    bad["value"] = 3;
    const json page{{"events", {bad, item("i-3", good().dump())}},
                    {"current_rev", 9}};
    const auto changes =
        platform::store_dialect().parse_changes(page.dump()).changes;
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].kind == kind::target_unreadable);
    CHECK(changes[0].fault == record_fault::bytes);
    CHECK(changes[1].kind == kind::target);
}

TEST_CASE("whatever bytes an entry holds, the page is read")
{
    CHECK(rc::check(
        [](const std::vector<char>& bytes)
        {
            const auto changes =
                page_with(std::string(bytes.begin(), bytes.end()));
            RC_ASSERT(changes.size() == 3U);
            RC_ASSERT(changes[1].kind == kind::target_unreadable);
            RC_ASSERT(changes[2].kind == kind::target);
        }));
    // The same with one byte of a good entry changed.
    CHECK(rc::check(
        [](std::size_t at, char byte)
        {
            std::string text = good().dump();
            text[at % text.size()] = byte;
            const auto changes = page_with(text);
            RC_ASSERT(changes.size() == 3U);
            RC_ASSERT(changes[2].kind == kind::target);
        }));
}

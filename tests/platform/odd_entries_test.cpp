#include "platform/request_dialect.hpp"
#include "platform/store_dialect.hpp"

#include <doctest/doctest.h>

#include <boost/beast/core/detail/base64.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace mangofold;
using serving::record_fault;
using kind = serving::source_change::record_kind;

namespace
{

constexpr std::size_t deep = 100'000;

std::string repeated(std::string_view part, std::size_t times)
{
    std::string text;
    text.reserve(part.size() * times);
    for (std::size_t count = 0; count < times; ++count)
        text += part;
    return text;
}

std::string nested_lists(std::size_t depth)
{
    return repeated("[", depth) + repeated("]", depth);
}

std::string nested_objects(std::size_t depth)
{
    return repeated(R"({"a":)", depth) + "1" + repeated("}", depth);
}

/// JSON values that no writer of the platform writes; some are no JSON.
const std::vector<std::string>& odd_values()
{
    static const std::vector<std::string> values{
        nested_lists(deep),
        nested_objects(deep),
        nested_lists(65),
        repeated("[", 200'000),
        repeated("]", 10),
        repeated(R"([{"a":)", deep),
        "1e400",
        "-1e400",
        "1e300",
        "18446744073709551616",
        "18446744073709551615",
        "-9223372036854775809",
        "-1",
        "0.5",
        std::string(100'000, '9'),
        "\"" + std::string(100'000, 'v') + "\"",
        "\"\xff\xfe\"",
        "\"\\ud800\"",
        "\"a\\u0000b\"",
        "null",
        "true",
        "\"\"",
        "{}",
        "[]"};
    return values;
}

std::string encoded(const std::string& text)
{
    namespace base64 = boost::beast::detail::base64;
    std::string result(base64::encoded_size(text.size()), '\0');
    result.resize(base64::encode(result.data(), text.data(), text.size()));
    return result;
}

/// An object as JSON text, whose fields can be replaced by any text.
struct json_object
{
    std::vector<std::pair<std::string, std::string>> fields;

    std::string text() const
    {
        std::string result = "{";
        for (const auto& [name, value] : fields)
        {
            result += result.size() > 1 ? ",\"" : "\"";
            result += name + "\":" + value;
        }
        return result + "}";
    }

    json_object with(std::size_t field, const std::string& value) const
    {
        json_object result = *this;
        result.fields[field].second = value;
        return result;
    }
};

json_object sound_target()
{
    return {{{"backend", R"("s")"},
             {"address", R"("10.0.0.1:80")"},
             {"zone", R"("a")"},
             {"version", R"("v1")"},
             {"capacity", "6"},
             {"state", R"("ready")"},
             {"sequence", "4"},
             {"warmup_left_ms", "0"},
             {"born", "12"}}};
}

json_object item(const std::string& key, const std::string& value)
{
    return {{{"key", "\"" + key + "\""},
             {"value", "\"" + encoded(value) + "\""},
             {"rev", "7"},
             {"create_rev", "7"},
             {"lease", "0"},
             {"removed", "false"}}};
}

json_object page(const char* list, const std::string& odd)
{
    const std::string sound = item("servers/i-9", sound_target().text()).text();
    return {{{list, "[" + odd + "," + sound + "]"},
             {"more_pages", "false"},
             {"current_rev", "9"}}};
}

std::optional<serving::source_page>
parsed_or_refused(const std::function<serving::source_page()>& parse)
{
    try
    {
        return parse();
    }
    catch (const serving::invalid_message&)
    {
        return std::nullopt;
    }
}

/// Returns the content of \a body as a page of targets, of declarations and of
/// a watch, which have to agree; nothing if it is refused.
std::optional<serving::source_page> parsed(const json_object& body)
{
    const platform::store_dialect store;
    json_object watch = body;
    if (watch.fields[0].first == "items")
        watch.fields[0].first = "events";
    const auto targets =
        parsed_or_refused([&] { return store.parse_targets(body.text()); });
    CHECK(parsed_or_refused(
              [&]
              { return store.parse_declarations(body.text()); }) == targets);
    CHECK(parsed_or_refused(
              [&] { return store.parse_changes(watch.text()); }) == targets);
    return targets;
}

bool has_sound_target(const serving::source_page& read)
{
    return !read.changes.empty() && read.changes.back().kind == kind::target &&
           read.changes.back().target.incarnation.id == "i-9" &&
           read.last_key == "servers/i-9" && read.revision == 9;
}

json_object sound_catalog()
{
    return {
        {{"version", "3"},
         {"routes", R"([{"name":"r","host":"h","prefix":"/","backend":"s"}])"},
         {"backends", R"([{"name":"s"}])"},
         {"limits", R"({"max_header_bytes":4000})"},
         {"tenants", R"([{"name":"t","api_keys":["k"]}])"}}};
}

} // namespace

// Guards against an entry process that ends, or that loses the other targets of
// a page, since one target's entry holds a value that no target writes.
TEST_CASE("an odd value in a field of an entry affects that entry only")
{
    const json_object sound = sound_target();
    for (std::size_t field = 0; field < sound.fields.size(); ++field)
        for (const std::string& value : odd_values())
        {
            CAPTURE(sound.fields[field].first);
            CAPTURE(value.substr(0, 40));
            const std::string entry = sound.with(field, value).text();
            const auto read =
                parsed(page("items", item("servers/i-1", entry).text()));
            REQUIRE(read);
            REQUIRE(read->changes.size() == 2);
            CHECK(has_sound_target(*read));
            CHECK(read->changes[0].target.incarnation.id == "i-1");
        }
    for (const std::string& value : odd_values())
    {
        CAPTURE(value.substr(0, 40));
        const auto read =
            parsed(page("items", item("servers/i-1", value).text()));
        REQUIRE(read);
        CHECK(has_sound_target(*read));
        CHECK(read->changes[0].kind == kind::target_unreadable);
        json_object extended = sound;
        extended.fields.emplace_back("unknown", value);
        CHECK(
            parsed(page("items", item("servers/i-1", extended.text()).text())));
    }
}

// Guards against an entry process that overflows its stack on a store page: the
// value of an item was copied before its type was known.
TEST_CASE("an odd value in a page of the store ends no process")
{
    const json_object sound = item("servers/i-1", sound_target().text());
    for (const char* key : {"servers/i-1", "op/config", "op/evacuate/a", "x"})
        for (std::size_t field = 0; field < sound.fields.size(); ++field)
            for (const std::string& value : odd_values())
            {
                CAPTURE(key);
                CAPTURE(sound.fields[field].first);
                CAPTURE(value.substr(0, 40));
                const auto read = parsed(
                    page("items", item(key, "{}").with(field, value).text()));
                // A page that is no JSON is refused as a whole.
                if (read)
                    CHECK(has_sound_target(*read));
            }
    const json_object whole = page("items", sound.text());
    for (std::size_t field = 0; field < whole.fields.size(); ++field)
        for (const std::string& value : odd_values())
            parsed(whole.with(field, value));
    for (const std::string& value : odd_values())
        CHECK_THROWS_AS(platform::store_dialect().parse_targets(value),
                        serving::invalid_message);
}

// Guards against an entry process that overflows its stack on a configuration:
// lists in it were copied whatever they held.
TEST_CASE("an odd value in a configuration ends no process")
{
    const platform::store_dialect store;
    const auto is_read = [&](const std::string& text)
    {
        try
        {
            store.parse_catalog(text);
            return true;
        }
        catch (const serving::invalid_message&)
        {
            return false;
        }
    };
    const json_object sound = sound_catalog();
    CHECK(is_read(sound.text()));
    const std::vector<std::pair<std::string, std::vector<std::string>>> inner{
        {R"({"name":"r","host":"h","prefix":"/","backend":"s","FIELD":VALUE})",
         {"name", "host", "prefix", "route_type", "stream_resume", "public",
          "timeout_ms", "target_latency_ms", "gap_aim_ms", "priority",
          "max_attempts", "backend", "weighted_backends", "stages"}},
        {R"({"name":"s","FIELD":VALUE})",
         {"name", "max_connections", "warmup_s", "warmup_per_s", "pieces",
          "engine"}},
        {R"({"FIELD":VALUE})",
         {"max_header_bytes", "max_body_bytes", "header_timeout_ms",
          "idle_timeout_ms"}},
        {R"({"name":"t","FIELD":VALUE})", {"name", "priority", "api_keys"}}};
    for (const std::string& value : odd_values())
    {
        CAPTURE(value.substr(0, 40));
        CHECK_FALSE(is_read(value));
        for (std::size_t field = 0; field < sound.fields.size(); ++field)
            is_read(sound.with(field, value).text());
        for (std::size_t part = 0; part < inner.size(); ++part)
            for (const std::string& name : inner[part].second)
            {
                std::string text = inner[part].first;
                text.replace(text.find("FIELD"), 5, name);
                text.replace(text.find("VALUE"), 5, value);
                const bool is_list = part != 2;
                is_read(sound.with(part + 1, is_list ? "[" + text + "]" : text)
                            .text());
            }
    }
}

TEST_CASE("an odd value in the results of a call ends no process")
{
    const platform::request_dialect dialect;
    for (const std::string& value : odd_values())
        for (const char* text :
             {"VALUE", R"({"items":VALUE})", R"({"items":[VALUE]})",
              R"({"items":[{"handle":VALUE}]})",
              R"({"items":[{"handle":"a","why":VALUE}]})"})
        {
            std::string body = text;
            body.replace(body.find("VALUE"), 5, value);
            CAPTURE(body.substr(0, 60));
            try
            {
                dialect.parse_piece_results(body);
            }
            catch (const serving::invalid_message&)
            {
            }
        }
}

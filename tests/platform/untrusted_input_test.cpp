#include "platform/catalog_reader.hpp"
#include "platform/request_dialect.hpp"
#include "platform/settings_reader.hpp"
#include "platform/store_dialect.hpp"
#include "serving/catalog_parts.hpp"
#include "serving/event_stream.hpp"
#include "serving/peer_messages.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdio>
#include <fstream>

using namespace mangofold;
using namespace std::chrono_literals;

namespace
{

std::string to_string(const std::vector<char>& bytes)
{
    return {bytes.begin(), bytes.end()};
}

/// Generates values of headers: bytes from the space up, without DEL.
rc::Gen<std::string> header_value()
{
    return rc::gen::container<std::string>(rc::gen::map(
        rc::gen::inRange(0, 223),
        [](int index)
        {
            const int printable = index < 95 ? index + 32 : index + 33;
            return static_cast<char>(printable);
        }));
}

serving::http_request request_with(const char* name, const std::string& value)
{
    serving::http_request request{serving::http::verb::post, "/a/b", 11};
    request.set("Host", "h.example");
    request.set("X-Mangofold-Request-Id", "0123456789abcdef");
    request.set("X-Mangofold-Pieces", "1,2");
    request.set("X-Mangofold-Piece-Key", "7c1e");
    request.set(name, value);
    return request;
}

const char* const request_headers[] = {"Host",
                                       "X-Mangofold-Request-Id",
                                       "X-Mangofold-Pieces",
                                       "X-Mangofold-Piece-Key",
                                       "X-Mangofold-Token-Count",
                                       "X-Mangofold-Prompt-Prefix",
                                       "X-Mangofold-Time-Budget-Ms",
                                       "Authorization",
                                       "Last-Event-Id",
                                       "Resumes"};

/// Whether \a parse either returns or throws invalid_message.
template<typename Parse>
bool returns_or_throws_facts_error(Parse parse)
{
    try
    {
        parse();
        return true;
    }
    catch (const serving::invalid_message&)
    {
        return true;
    }
}

} // namespace

// Guards against a leak of call slots: an entry made no more calls to a target.
// A caller sent a piece key with bytes that JSON cannot hold, the call with a
// piece of that request could not be written, and its slot was never released.
TEST_CASE("a request id or piece key beyond visible ASCII is refused")
{
    const platform::request_dialect dialect;
    for (const char* name : {"X-Mangofold-Piece-Key", "X-Mangofold-Request-Id"})
    {
        for (const char* value : {"\xff\xfe", "a b", "a\x7f"})
            CHECK_THROWS_AS(serving::validate_request(dialect.parse_request(
                                request_with(name, value))),
                            serving::invalid_message);
    }
}

// Guards against an entry that runs out of memory and fails the requests of all
// its callers. A caller declared a stage with billions of pieces, and the entry
// stored each of them as waiting.
TEST_CASE("a request with too many pieces is refused")
{
    const platform::request_dialect dialect;
    const auto pieces = [&](const char* value)
    {
        const auto metadata =
            dialect.parse_request(request_with("X-Mangofold-Pieces", value));
        serving::validate_request(metadata);
        return metadata.pieces;
    };
    CHECK_THROWS_AS(pieces("1,4000000000"), serving::invalid_message);
    CHECK_THROWS_AS(pieces("1,99999999999"), serving::invalid_message);
    CHECK_THROWS_AS(pieces("-1"), serving::invalid_message);
    CHECK(pieces("1,1000") == std::vector<std::uint32_t>{1, 1000});
}

TEST_CASE("arbitrary headers of a caller are parsed or refused")
{
    const platform::request_dialect dialect;
    CHECK(rc::check(
        [&]
        {
            const char* name = *rc::gen::elementOf(std::vector<const char*>(
                std::begin(request_headers), std::end(request_headers)));
            const auto request = request_with(name, *header_value());
            RC_ASSERT(returns_or_throws_facts_error(
                [&]
                {
                    const auto metadata = dialect.parse_request(request);
                    serving::validate_request(metadata);
                    // Accepted values can be written into requests to a target.
                    serving::piece_task order;
                    order.request_id = metadata.id;
                    order.key = metadata.piece_key;
                    dialect.make_pieces_request({order});
                    dialect.forwarded_fields(request, {});
                }));
        }));
}

TEST_CASE("arbitrary responses of a target are parsed or refused")
{
    const platform::request_dialect dialect;
    CHECK(rc::check(
        [&](const std::vector<char>& bytes)
        {
            RC_ASSERT(returns_or_throws_facts_error(
                [&] { dialect.parse_piece_results(to_string(bytes)); }));
        }));
    CHECK(rc::check(
        [&]
        {
            serving::http_response answer{serving::http::status::ok, 11};
            for (const char* name : {"Keep-Alive", "X-Mangofold-Request-Id",
                                     "Connection", "X-Mangofold-Server-Load"})
                answer.set(name, *header_value());
            const auto metadata = dialect.parse_response(answer.base());
            RC_ASSERT(metadata.load.has_value() != metadata.is_load_unreadable);
            dialect.returned_fields(answer.base());
        }));
    // Figures of any size, so that some of them are plausible.
    CHECK(rc::check(
        [&](const std::vector<std::int16_t>& figures)
        {
            std::string text;
            for (const std::int16_t figure : figures)
                text += (text.empty() ? "" : ",") + std::to_string(figure);
            serving::http_response answer{serving::http::status::ok, 11};
            answer.set("X-Mangofold-Server-Load", text);
            const auto metadata = dialect.parse_response(answer.base());
            RC_ASSERT(metadata.load.has_value() != metadata.is_load_unreadable);
            if (metadata.load)
                RC_ASSERT(decision::is_plausible(*metadata.load));
        }));
    for (const char* body :
         {"{}", "[]", R"({"items":3})", R"({"items":[3]})",
          R"({"items":[{"handle":3}]})", R"({"items":[{"why":[]}]})"})
        CHECK(returns_or_throws_facts_error(
            [&] { dialect.parse_piece_results(body); }));
}

namespace
{

/// Returns the bytes of \a text up to and including its last empty line. A line
/// ends with a line feed, optionally preceded by a carriage return.
std::string up_to_last_empty_line(std::string_view text)
{
    for (std::size_t end = text.size(); end > 0; --end)
    {
        std::string_view prefix = text.substr(0, end);
        if (!prefix.ends_with('\n'))
            continue;
        prefix.remove_suffix(1);
        if (prefix.ends_with('\r'))
            prefix.remove_suffix(1);
        if (prefix.empty() || prefix.ends_with('\n'))
            return std::string(text.substr(0, end));
    }
    return {};
}

/// Checks the output of an event stream after each of \a chunks.
void check_whole_events(const std::vector<std::string>& chunks)
{
    serving::event_stream events(std::nullopt);
    std::string input;
    std::string output;
    for (const std::string& chunk : chunks)
    {
        input += chunk;
        output += events.add(chunk);
        if (events.is_out_of_order())
            break;
        RC_ASSERT(output == up_to_last_empty_line(input));
        RC_ASSERT(events.is_between_events() == (output == input));
    }
    RC_ASSERT(input.starts_with(output));
}

} // namespace

TEST_CASE("an event stream passes on only whole events")
{
    CHECK(rc::check(
        [](const std::vector<std::vector<char>>& chunks)
        {
            std::vector<std::string> texts;
            for (const auto& chunk : chunks)
                texts.push_back(to_string(chunk));
            check_whole_events(texts);
        }));
    CHECK(rc::check(
        []
        {
            check_whole_events(*rc::gen::container<std::vector<std::string>>(
                rc::gen::element<std::string>("\n", "\r", "\r\n", "data: x",
                                              ":", "id: 1", "id: 2\n",
                                              "data: y\n\n")));
        }));
}

TEST_CASE("an event can end with LF and CRLF line ends in any combination")
{
    for (const char* text :
         {"a\n\n", "a\r\n\r\n", "a\n\r\n", "a\r\n\n", "\n\r\n", "a\n\n\n"})
    {
        CAPTURE(text);
        serving::event_stream events;
        CHECK(events.add(text) == text);
        CHECK(events.is_between_events());
    }
}

TEST_CASE("arbitrary responses of the store are parsed or refused")
{
    const platform::store_dialect store;
    CHECK(rc::check(
        [&](const std::vector<char>& bytes)
        {
            const std::string text = to_string(bytes);
            RC_ASSERT(returns_or_throws_facts_error(
                [&] { store.parse_targets(text); }));
            RC_ASSERT(returns_or_throws_facts_error(
                [&] { store.parse_changes(text); }));
            RC_ASSERT(returns_or_throws_facts_error(
                [&] { store.parse_declarations(text); }));
            RC_ASSERT(returns_or_throws_facts_error(
                [&] { store.parse_catalog(text); }));
        }));
    for (const char* text :
         {"{}", "[]", "3", R"({"items":[3],"current_rev":1})",
          R"({"items":{},"current_rev":-1})",
          R"({"items":[{"key":3,"rev":1}],"current_rev":1})",
          R"({"events":[{"key":"op/config","rev":1,"value":"!!"}],)"
          R"("current_rev":1})",
          R"({"version":1,"routes":[{}],"backends":[]})",
          R"({"version":"1","routes":[],"backends":[]})"})
    {
        CAPTURE(text);
        CHECK(
            returns_or_throws_facts_error([&] { store.parse_targets(text); }));
        CHECK(
            returns_or_throws_facts_error([&] { store.parse_changes(text); }));
        CHECK(returns_or_throws_facts_error(
            [&] { store.parse_declarations(text); }));
        CHECK(
            returns_or_throws_facts_error([&] { store.parse_catalog(text); }));
    }
}

TEST_CASE("arbitrary frames of another entry are accepted or ignored")
{
    CHECK(rc::check(
        [](const std::vector<char>& bytes)
        {
            peer::Frame frame;
            const std::string text = to_string(bytes);
            if (!frame.ParseFromString(text))
                return;
            decision::target_directory directory;
            serving::apply_targets(frame.targets(), directory);
            serving::catalog_assembler().add(frame.catalog_part());
            serving::read_outcome(frame.job_end());
            serving::read_job(frame.job(), decision::instant{});
        }));
}

TEST_CASE("an arbitrary settings file is parsed or refused")
{
    const std::string path = "untrusted_input_test.toml";
    CHECK(rc::check(
        [&](const std::vector<char>& bytes)
        {
            std::ofstream(path, std::ios::binary) << to_string(bytes);
            bool is_expected_error = true;
            try
            {
                platform::read_settings(path);
            }
            catch (const serving::settings_error&)
            {
            }
            catch (...)
            {
                is_expected_error = false;
            }
            RC_ASSERT(is_expected_error);
        }));
    std::remove(path.c_str());
}

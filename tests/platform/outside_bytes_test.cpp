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

std::string text_of(const std::vector<char>& bytes)
{
    return {bytes.begin(), bytes.end()};
}

/// Bytes that can stand in a header's value.
rc::Gen<std::string> header_value()
{
    return rc::gen::container<std::string>(
        rc::gen::map(rc::gen::inRange(0, 223),
                     [](int one)
                     {
                         const int printable = one < 95 ? one + 32 : one + 33;
                         return static_cast<char>(printable);
                     }));
}

serving::http_request request_with(const char* name, const std::string& value)
{
    serving::http_request one{serving::http::verb::post, "/a/b", 11};
    one.set("Host", "h.example");
    one.set("X-Mangofold-Request-Id", "0123456789abcdef");
    one.set("X-Mangofold-Pieces", "1,2");
    one.set("X-Mangofold-Piece-Key", "7c1e");
    one.set(name, value);
    return one;
}

const char* const request_headers[] = {"Host",
                                       "X-Mangofold-Request-Id",
                                       "X-Mangofold-Pieces",
                                       "X-Mangofold-Piece-Key",
                                       "X-Mangofold-Token-Count",
                                       "X-Mangofold-Prompt-Prefix",
                                       "X-Mangofold-Time-Budget-Ms",
                                       "Authorization",
                                       "Last-Event-Id"};

/// Whether \a read gives a value or says by invalid_message that it cannot.
template<typename Read>
bool is_read_or_refused(Read read)
{
    try
    {
        read();
        return true;
    }
    catch (const serving::invalid_message&)
    {
        return true;
    }
}

} // namespace

// An entry that gathers makes no more calls at some target.
// 1. A caller sends a key of bytes that no JSON text can hold. 2. The call that
// holds a piece of it cannot be written. 3. Its place at the target is never
// given back.
TEST_CASE("a request whose names cannot be passed on is refused")
{
    const platform::request_dialect speech;
    for (const char* name : {"X-Mangofold-Piece-Key", "X-Mangofold-Request-Id"})
    {
        for (const char* value : {"\xff\xfe", "a b", "a\x7f"})
            CHECK_THROWS_AS(serving::validate_request(speech.parse_request(
                                request_with(name, value))),
                            serving::invalid_message);
    }
}

// An entry runs out of memory, with all its callers.
// 1. A caller says that a stage has billions of pieces. 2. Each of them is
// noted as waiting.
TEST_CASE("a request with more pieces than any has is refused")
{
    const platform::request_dialect speech;
    const auto pieces = [&](const char* value)
    {
        const auto facts =
            speech.parse_request(request_with("X-Mangofold-Pieces", value));
        serving::validate_request(facts);
        return facts.pieces;
    };
    CHECK_THROWS_AS(pieces("1,4000000000"), serving::invalid_message);
    CHECK_THROWS_AS(pieces("1,99999999999"), serving::invalid_message);
    CHECK_THROWS_AS(pieces("-1"), serving::invalid_message);
    CHECK(pieces("1,1000") == std::vector<std::uint32_t>{1, 1000});
}

// A caller's connection is reset, or a place at a target is never given back.
// 1. A target says nonsense of how long it keeps connections. 2. Reading that
// ended all that waited for the answer.
TEST_CASE("an answer with an unreadable idle time is an answer")
{
    const platform::request_dialect speech;
    serving::http_response answer{serving::http::status::ok, 11};
    answer.set("X-Mangofold-Response-Seal", "s");
    for (const char* value : {"timeout=", "timeout=x", "timeout=-1",
                              "timeout=99999999999999999999", "\xff"})
    {
        answer.set("Keep-Alive", value);
        const auto facts = speech.parse_response(answer.base());
        CHECK(facts.is_signed);
        CHECK_FALSE(facts.keep_alive_timeout);
    }
}

TEST_CASE("whatever a caller's headers hold, they are read or refused")
{
    const platform::request_dialect speech;
    CHECK(rc::check(
        [&]
        {
            const char* name = *rc::gen::elementOf(std::vector<const char*>(
                std::begin(request_headers), std::end(request_headers)));
            const auto request = request_with(name, *header_value());
            RC_ASSERT(is_read_or_refused(
                [&]
                {
                    const auto facts = speech.parse_request(request);
                    serving::validate_request(facts);
                    // What is read can be told to a target.
                    serving::piece_task order;
                    order.request_id = facts.id;
                    order.key = facts.piece_key;
                    speech.make_pieces_request("i-1", {order});
                    speech.forwarded_fields(request, {});
                }));
        }));
}

TEST_CASE("whatever a target answers, it is read or refused")
{
    const platform::request_dialect speech;
    CHECK(rc::check(
        [&](const std::vector<char>& bytes)
        {
            RC_ASSERT(is_read_or_refused(
                [&] { speech.parse_piece_results(text_of(bytes)); }));
        }));
    CHECK(rc::check(
        [&]
        {
            serving::http_response answer{serving::http::status::ok, 11};
            for (const char* name :
                 {"Keep-Alive", "X-Mangofold-Request-Id", "Connection"})
                answer.set(name, *header_value());
            speech.parse_response(answer.base());
            speech.returned_fields(answer.base());
        }));
    for (const char* body :
         {"{}", "[]", R"({"items":3})", R"({"items":[3]})",
          R"({"items":[{"handle":3}]})", R"({"items":[{"why":[]}]})"})
        CHECK(is_read_or_refused([&] { speech.parse_piece_results(body); }));
}

namespace
{

/// Returns the bytes of \a text up to its last empty line, that line included.
/// A line ends with a line feed, with or without a carriage return before it.
std::string up_to_last_empty_line(std::string_view text)
{
    for (std::size_t end = text.size(); end > 0; --end)
    {
        std::string_view before = text.substr(0, end);
        if (!before.ends_with('\n'))
            continue;
        before.remove_suffix(1);
        if (before.ends_with('\r'))
            before.remove_suffix(1);
        if (before.empty() || before.ends_with('\n'))
            return std::string(text.substr(0, end));
    }
    return {};
}

/// Checks what comes out of a stream that holds \a chunks, one by one.
void check_whole_events(const std::vector<std::string>& chunks)
{
    serving::event_stream events(std::nullopt);
    std::string all;
    std::string out;
    for (const std::string& chunk : chunks)
    {
        all += chunk;
        out += events.add(chunk);
        if (events.is_out_of_order())
            break;
        RC_ASSERT(out == up_to_last_empty_line(all));
        RC_ASSERT(events.is_between_events() == (out == all));
    }
    RC_ASSERT(all.starts_with(out));
}

} // namespace

TEST_CASE("whatever a stream holds, whole events only come out of it")
{
    CHECK(rc::check(
        [](const std::vector<std::vector<char>>& chunks)
        {
            std::vector<std::string> texts;
            for (const auto& chunk : chunks)
                texts.push_back(text_of(chunk));
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

TEST_CASE("events may end with either kind of line end, or one of each")
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

TEST_CASE("whatever the store answers, it is read or refused")
{
    const platform::store_dialect store;
    CHECK(rc::check(
        [&](const std::vector<char>& bytes)
        {
            const std::string text = text_of(bytes);
            RC_ASSERT(is_read_or_refused([&] { store.parse_targets(text); }));
            RC_ASSERT(is_read_or_refused([&] { store.parse_changes(text); }));
            RC_ASSERT(
                is_read_or_refused([&] { store.parse_declarations(text); }));
            RC_ASSERT(is_read_or_refused([&] { store.parse_catalog(text); }));
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
        CHECK(is_read_or_refused([&] { store.parse_targets(text); }));
        CHECK(is_read_or_refused([&] { store.parse_changes(text); }));
        CHECK(is_read_or_refused([&] { store.parse_declarations(text); }));
        CHECK(is_read_or_refused([&] { store.parse_catalog(text); }));
    }
}

TEST_CASE("whatever another entry sends, it is taken or left")
{
    CHECK(rc::check(
        [](const std::vector<char>& bytes)
        {
            peer::Frame frame;
            const std::string text = text_of(bytes);
            if (!frame.ParseFromString(text))
                return;
            decision::target_directory directory;
            serving::apply_targets(frame.targets(), directory);
            serving::catalog_assembler().add(frame.catalog_part());
            serving::read_outcome(frame.job_end());
            serving::read_job(frame.job(), decision::instant{});
        }));
}

TEST_CASE("whatever a settings file holds, it is read or refused")
{
    const std::string path = "outside_bytes_test.toml";
    CHECK(rc::check(
        [&](const std::vector<char>& bytes)
        {
            std::ofstream(path, std::ios::binary) << text_of(bytes);
            bool is_known = true;
            try
            {
                platform::read_settings(path);
            }
            catch (const serving::settings_error&)
            {
            }
            catch (...)
            {
                is_known = false;
            }
            RC_ASSERT(is_known);
        }));
    std::remove(path.c_str());
}

#include "platform/catalog_reader.hpp"
#include "platform/request_dialect.hpp"
#include "platform/settings_reader.hpp"
#include "platform/store_dialect.hpp"
#include "serving/message_metadata.hpp"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>

using namespace mangofold;
using namespace std::chrono_literals;

namespace
{

const std::string configuration = R"({"version":7,"routes":[
 {"name":"r-1","host":"Jepu9.example","prefix":"/a/","route_type":"streaming",
  "timeout_ms":6000,"target_latency_ms":1900,"priority":1,"backend":"s1",
  "max_attempts":2,"stages":[{"backend":"s2","after":[],"bytes":8000},
  {"backend":"s2","after":[0],"bytes":60}],"public":false,
  "stream_resume":true,"gap_aim_ms":300},
 {"name":"r-2","host":"x","prefix":"/b/","route_type":"idempotent",
  "timeout_ms":800,"weighted_backends":[{"backend":"s1","weight":90},
  {"backend":"s3","weight":10}],"max_attempts":2,"public":true}],
 "backends":[{"name":"s1","max_connections":490,
  "engine":{"capacity":96,"kv_tokens":444000}},
 {"name":"s2","max_connections":9,"pieces":{"capacity":1,"queue":2,"batch":16,
  "call_ms":200.0,"item_ms":11.5,"room_mb":36.0,"handle_s":4.0}},
 {"name":"s3","health_check":"/healthz"}],
 "limits":{"max_header_bytes":100,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]})";

serving::http_request caller_request()
{
    serving::http_request request{serving::http::verb::post, "/a/2f?q=1", 11};
    request.set("Host", "Jepu9.example:80");
    request.set("X-Mangofold-Request-Id", "9c41");
    request.set("X-Mangofold-Time-Budget-Ms", "1500");
    request.set("X-Mangofold-Prompt-Prefix", "5c:800, 91:410,e4:250");
    request.set("X-Mangofold-Token-Count", "1460,80");
    request.set("X-Mangofold-Pieces", "2,0,6");
    request.set("X-Mangofold-Piece-Key", "7c1e");
    request.set("Authorization", "Bearer secret");
    request.set("X-Mangofold-Tenant", "somebody");
    request.set("X-Mangofold-Hold", "h");
    request.set("Kv-From", "x");
    request.set("Connection", "keep-alive, X-Private");
    request.set("X-Private", "1");
    request.set("X-Other", "2");
    return request;
}

/// Returns the headers of \a request as the target "i-1" gets them.
serving::http_fields sent_headers(const serving::http_request& request,
                                  const serving::forwarding_metadata& metadata)
{
    const platform::request_dialect dialect;
    auto headers = dialect.forwarded_fields(request, metadata);
    dialect.set_addressee(headers, dialect.parse_request(request).id, {"i-1"});
    return headers;
}

} // namespace

TEST_CASE("the catalog is parsed from the operator's configuration")
{
    const catalog::document document = platform::read_catalog(configuration);
    CHECK(document.version == 7);
    REQUIRE(document.routes.size() == 2);
    const catalog::route& first_route = document.routes[0];
    CHECK(first_route.host == "jepu9.example");
    CHECK(first_route.is_stream);
    CHECK(first_route.is_resumable);
    CHECK_FALSE(first_route.is_repeatable);
    CHECK(first_route.timeout == 6s);
    CHECK(first_route.latency_objective == 1900ms);
    CHECK(first_route.patience == 7600ms);
    CHECK(document.routes[1].patience == 0ms);
    REQUIRE(first_route.stages.size() == 2);
    CHECK(first_route.stages[1].dependencies == std::vector<std::size_t>{0});
    CHECK(document.routes[1].is_repeatable);
    CHECK(document.routes[1].services.size() == 2);
    REQUIRE(document.services[1].calls);
    CHECK(document.services[1].calls->time_per_piece == 11500us);
    CHECK(document.services[1].calls->result_memory_bytes == 36000000);
    CHECK(document.services[0].engine->slots == 96);
    CHECK(document.limits.header_bytes == 100);
    CHECK(document.checks_keys);
    CHECK(document.accounts[0].keys.size() == 2);
    CHECK(document.services.at(0).status_path == "/api/report");
    CHECK(document.services.at(1).status_path == "/api/report");
    CHECK(document.services.at(2).status_path == "/healthz");
}

// Guards against a path of the configuration that adds lines to a request.
TEST_CASE("a health check that is no path is not asked for")
{
    for (const char* path : {"", "healthz", "/a b", "/a\\r\\nX: 1"})
    {
        CAPTURE(path);
        const auto document = platform::read_catalog(
            R"({"version":1,"routes":[],"backends":[{"name":"s",)"
            R"("health_check":")" +
            std::string(path) + R"("}]})");
        CHECK(document.services.at(0).status_path == "/api/report");
    }
}

TEST_CASE("an unreadable configuration throws an error")
{
    for (const char* text :
         {"", "{", "[]", "{\"version\":\"x\"}",
          "{\"version\":1,\"routes\":[{\"host\":\"h\",\"prefix\":\"/\"}],"
          "\"backends\":[]}"})
        CHECK_THROWS_AS(platform::read_catalog(text), serving::invalid_message);
}

TEST_CASE("the metadata of a caller's request is parsed from its headers")
{
    const auto metadata =
        platform::request_dialect().parse_request(caller_request());
    CHECK(metadata.id == "9c41");
    CHECK(metadata.host == "jepu9.example");
    CHECK(metadata.path == "/a/2f");
    CHECK(metadata.budget == 1500ms);
    CHECK(metadata.key == "secret");
    REQUIRE(metadata.prompt.size() == 3);
    CHECK(metadata.prompt[1] == serving::prompt_segment{"91", 410});
    CHECK(metadata.max_output_tokens == 80);
    CHECK(metadata.pieces == std::vector<std::uint32_t>{2, 0, 6});
    auto taking_up = caller_request();
    CHECK(platform::request_dialect()
              .parse_request(taking_up)
              .resumed_request.empty());
    taking_up.set("Last-Event-Id", "12");
    taking_up.set("Resumes", "8b30");
    CHECK(platform::request_dialect().parse_request(taking_up).last_event_id ==
          "12");
    CHECK(
        platform::request_dialect().parse_request(taking_up).resumed_request ==
        "8b30");
    auto unreadable = caller_request();
    unreadable.set("X-Mangofold-Time-Budget-Ms", "soon");
    CHECK_THROWS_AS(platform::request_dialect().parse_request(unreadable),
                    serving::invalid_message);
}

// Guards against a target that gets the caller's API key, or an account name or
// another reserved header that the caller set.
TEST_CASE("reserved headers of a caller are replaced by those of the system")
{
    serving::forwarding_metadata metadata;
    metadata.budget = 900ms;
    metadata.account = "t";
    metadata.inputs = std::vector<std::string>{"a:1/x", "b:2/y"};
    const auto headers = sent_headers(caller_request(), metadata);
    CHECK(headers["X-Mangofold-Target-Instance"] == "i-1");
    CHECK(headers["X-Mangofold-Time-Budget-Ms"] == "900");
    CHECK(headers["X-Mangofold-Tenant"] == "t");
    CHECK(headers["X-Mangofold-Inputs"] == "a:1/x,b:2/y");
    CHECK(headers["X-Mangofold-Request-Id"] == "9c41");
    CHECK(headers["X-Other"] == "2");
    for (const char* name : {"Authorization", "X-Mangofold-Hold", "Kv-From",
                             "X-Private", "Connection"})
        CHECK(headers.count(name) == 0);
}

// Guards against headers that targets miss, or get though they are hop-by-hop,
// and against a request that targets get without its id.
TEST_CASE("headers are hop-by-hop only if \"Connection\" lists their names")
{
    serving::http_request request = caller_request();
    request.set("Connection", "X-Other-Name, x-private");
    request.insert("Connection", "X-Last, X-Mangofold-Request-Id");
    request.set("X-Last", "3");
    const auto headers = sent_headers(request, {});
    CHECK(headers["X-Other"] == "2");
    CHECK(headers["X-Mangofold-Request-Id"] == "9c41");
    CHECK(headers.count("X-Private") == 0);
    CHECK(headers.count("X-Last") == 0);
}

TEST_CASE("the headers of a target's response are parsed")
{
    serving::http_response_head head;
    head.result(421);
    CHECK(platform::request_dialect().parse_response(head).has_not_run);
    head.result(503);
    CHECK_FALSE(platform::request_dialect().parse_response(head).has_not_run);
    head.set("X-Mangofold-Not-Executed", "1");
    head.set("Keep-Alive", "timeout=7");
    head.set("X-Mangofold-Response-Seal", "s");
    const auto metadata = platform::request_dialect().parse_response(head);
    CHECK(metadata.has_not_run);
    CHECK(metadata.is_signed);
    CHECK(metadata.keep_alive_timeout == 7s);
    CHECK_FALSE(metadata.is_leaving);
    for (const char* value : {"0", "", "yes", "11"})
    {
        head.set("Server-Leaving", value);
        CHECK_FALSE(
            platform::request_dialect().parse_response(head).is_leaving);
    }
    head.set("Server-Leaving", "1");
    CHECK(platform::request_dialect().parse_response(head).is_leaving);
    CHECK_FALSE(metadata.rest);
    head.set("Retry-After", "2.5");
    CHECK(platform::request_dialect().parse_response(head).rest == 2500ms);
    head.result(429);
    CHECK_FALSE(platform::request_dialect().parse_response(head).rest);
    CHECK_FALSE(metadata.request_limit);
    CHECK_FALSE(metadata.is_limit_unreadable);
    head.set("Server-Limit", " 2.5");
    CHECK(platform::request_dialect().parse_response(head).request_limit ==
          2.5);
}

// Guards against attributing what a target states to the one that had its
// address before.
TEST_CASE("a response of another target at the same address is misdirected")
{
    serving::http_response_head head;
    head.result(421);
    CHECK(platform::request_dialect().parse_response(head).is_misdirected);
    head.result(503);
    CHECK_FALSE(
        platform::request_dialect().parse_response(head).is_misdirected);
}

TEST_CASE("calls for pieces are written and their results parsed")
{
    const platform::request_dialect dialect;
    const auto call = dialect.make_pieces_request(
        {{"r1", 0, 2, 900ms, "key", {}}, {"r2", 2, 0, 1s, "", {"a/b"}}});
    for (auto sent : {call, dialect.make_release_request({"a/b"})})
    {
        dialect.set_addressee(sent, "c1", {"i-9"});
        CHECK(sent["X-Mangofold-Request-Id"] == "c1");
        CHECK(sent["X-Mangofold-Target-Instance"] == "i-9");
    }
    CHECK(call.body() ==
          R"({"items":[{"id":"r1","key":"key","left_ms":900,"piece":2,)"
          R"("stage":0},{"id":"r2","inputs":["a/b"],"left_ms":1000,)"
          R"("piece":0,"stage":2}]})");
    const auto results = dialect.parse_piece_results(
        R"({"items":[{"handle":"a:1/x"},{"why":"gone"},{"why":"room"},)"
        R"({"why":"late"},{"why":"error"}]})");
    using status_code = serving::piece_result::status_code;
    REQUIRE(results.size() == 5);
    CHECK(results[0].handle == "a:1/x");
    CHECK(results[1].status == status_code::input_lost);
    CHECK(results[2].status == status_code::memory_full);
    CHECK(results[3].status == status_code::expired);
    CHECK(results[4].status == status_code::failed);
    CHECK_THROWS_AS(dialect.parse_piece_results("spoiled"),
                    serving::invalid_message);
    CHECK(dialect.producer_address("10.0.0.1:80/ab") == "10.0.0.1:80");
}

// Guards against a part of an answer with neither a length nor chunks, whose
// target was killed: it must not be read as fewer results.
TEST_CASE("no part of the answer to a call is read as a whole one")
{
    const platform::request_dialect dialect;
    const std::string whole =
        R"({"items":[{"handle":"a:1/x"},{"why":"room"},{"handle":"a:1/y"}]})";
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK_THROWS_AS(dialect.parse_piece_results(whole.substr(0, size)),
                        serving::invalid_message);
    CHECK(dialect.parse_piece_results(whole).size() == 3);
}

TEST_CASE("pages and changes of the store are parsed")
{
    const platform::store_dialect store;
    // {"backend":"s","address":"10.0.0.1:80","zone":"a","version":"v1",
    // "capacity":6,"state":"draining","warmup_left_ms":0,"sequence":1,
    // "born":1774835228000}
    const std::string value =
        "eyJiYWNrZW5kIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInpvbmUiOiJhIi"
        "widmVyc2lvbiI6InYxIiwiY2FwYWNpdHkiOjYsInN0YXRlIjoiZHJhaW5pbmciLCJ3"
        "YXJtdXBfbGVmdF9tcyI6MCwic2VxdWVuY2UiOjEsImJvcm4iOjE3NzQ4MzUyMjgwMD"
        "B9";
    const auto page = store.parse_targets(
        R"({"items":[{"key":"servers/i-1","value":")" + value +
        R"(","rev":12}],"more_pages":true,"current_rev":30})");
    REQUIRE(page.changes.size() == 1);
    CHECK(page.has_more);
    CHECK(page.last_key == "servers/i-1");
    CHECK(page.revision == 30);
    CHECK(page.changes[0].target.incarnation ==
          decision::target_incarnation("i-1", 1774835228000));
    CHECK(page.changes[0].target.version == "v1");
    CHECK(page.changes[0].target.slots == 6);
    CHECK(page.changes[0].target.is_leaving);
    CHECK(page.changes[0].target.revision == 12);
    const auto changes = store.parse_changes(
        R"({"events":[{"key":"servers/i-1","rev":31,"removed":true},)"
        R"({"key":"op/config","value":"e30=","rev":32},)"
        R"({"key":"other","value":"e30=","rev":33}],"current_rev":33})");
    using kind = serving::source_change::record_kind;
    REQUIRE(changes.changes.size() == 3);
    CHECK(changes.changes[0].kind == kind::target_removed);
    CHECK(changes.changes[1].kind == kind::catalog);
    CHECK(changes.changes[1].catalog == "{}");
    CHECK(changes.changes[2].kind == kind::other);
    CHECK_THROWS_AS(store.parse_targets("<html>"), serving::invalid_message);
}

TEST_CASE("evacuated zones are parsed from declarations and from changes")
{
    const platform::store_dialect store;
    CHECK(store.declarations_request("op/config").target() ==
          "/api/kv-range?prefix=op/&after=op/config");
    const auto page = store.parse_declarations(
        R"({"items":[{"key":"op/config","value":"e30=","rev":8},)"
        R"({"key":"op/evacuate/north-a","value":"e30=","rev":9}],)"
        R"("current_rev":11})");
    using kind = serving::source_change::record_kind;
    REQUIRE(page.changes.size() == 2);
    CHECK(page.changes[0].kind == kind::catalog);
    CHECK(page.changes[1].kind == kind::zone);
    CHECK(page.changes[1].zone == decision::zone_state{"north-a", 9, true});
    const auto changes = store.parse_changes(
        R"({"events":[{"key":"op/evacuate/north-a","rev":12,"removed":true},)"
        R"({"key":"op/evacuate/north-b","value":"bm8=","rev":13}],)"
        R"("current_rev":13})");
    REQUIRE(changes.changes.size() == 2);
    CHECK(changes.changes[0].zone ==
          decision::zone_state{"north-a", 12, false});
    CHECK(changes.changes[1].zone == decision::zone_state{"north-b", 13, true});
}

TEST_CASE("unusable settings throw an error, usable ones are parsed")
{
    const std::string path = "settings_test.toml";
    const auto write_file = [&path](const std::string& text)
    { std::ofstream(path) << text; };
    write_file("node_name = 3");
    CHECK_THROWS_AS(platform::read_settings(path), serving::settings_error);
    write_file("node_name = \"n\"\nzone = \"z\"\nregion = \"r\"\n[bind]\n"
               "frontend = \"nowhere\"");
    CHECK_THROWS_AS(platform::read_settings(path), serving::settings_error);
    write_file("node_name = \"n\"\nzone = \"z\"\nregion = \"r\"\n"
               "seeds = [\"10.0.0.1:5\"]\n[bind]\nfrontend = \"10.0.0.1:1\"\n"
               "readiness = \"10.0.0.1:2\"\ncontrol_plane = \"10.0.0.1:3\"\n"
               "[platform]\naddress = \"10.0.0.2:4\"\n[bounds]\ngrace_s = 8\n"
               "budget_ratio = 0.2\nnew_one = true\n");
    const auto settings = platform::read_settings(path);
    CHECK(settings.caller_address.text() == "10.0.0.1:1");
    CHECK(settings.grace == 8s);
    CHECK(settings.retry_share == 0.2);
    CHECK(settings.seeds.size() == 1);
    std::remove(path.c_str());
}

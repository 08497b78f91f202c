#include "runtime/http_client.hpp"
#include "runtime/http_server.hpp"
#include "support/closing_server.hpp"
#include "support/endless_server.hpp"

#include <doctest/doctest.h>

using namespace mangofold::runtime;
using namespace std::chrono_literals;
using mangofold::tests::closing_server;
using mangofold::tests::endless_server;

TEST_SUITE("http client")
{
    TEST_CASE("a call on a new connection is sent only once")
    {
        // The target receives a run request and crashes before its response.
        // The HTTP library must not reconnect and send the request again,
        // since the target may have executed it.
        const closing_server server(0);
        http_client client({"127.0.0.1", server.port()});
        CHECK_THROWS_AS(client.post("/v1/run", "{}", 5s), http_error);
        CHECK(server.requests() == 1);
    }

    TEST_CASE("a call on a reused connection is sent only once")
    {
        // A request that crashes its target also closes the reused connection.
        // Sent again on a new connection, the request would crash the target
        // a second time.
        const closing_server server(1);
        http_client client({"127.0.0.1", server.port()});
        CHECK(client.post("/v1/run", "{}", 5s).status == 200);
        CHECK_THROWS_AS(client.post("/v1/run", "{}", 5s), http_error);
        CHECK(server.requests() == 2);
    }

    TEST_CASE("a call without a response is not reported as unsent")
    {
        const closing_server server(0);
        http_client client({"127.0.0.1", server.port()});
        try
        {
            client.post("/v1/run", "{}", 5s);
            FAIL("no error");
        }
        catch (const http_error& error)
        {
            CHECK(error.error_kind() == http_error::kind::no_answer);
        }
    }

    // Guards against a caller that runs out of memory since a faulty server
    // sends a chunk size line or a trailer without end.
    TEST_CASE("a response whose lines do not end is refused at once")
    {
        const std::string head =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (const char* begun : {"1;", "0\r\nX: "})
        {
            CAPTURE(begun);
            const endless_server server(head + begun, std::string(4096, 'a'));
            http_client client({"127.0.0.1", server.port()});
            const auto began_at = std::chrono::steady_clock::now();
            CHECK_THROWS_AS(client.get("/", 5s), http_error);
            CHECK(std::chrono::steady_clock::now() < began_at + 3s);
        }
    }

    TEST_CASE("a call to a closed port is reported as unsent")
    {
        std::uint16_t port = 0;
        {
            const closing_server server(0);
            port = server.port();
        }
        http_client client({"127.0.0.1", port});
        try
        {
            client.post("/v1/run", "{}", 5s);
            FAIL("no error");
        }
        catch (const http_error& error)
        {
            CHECK(error.error_kind() == http_error::kind::not_connected);
        }
    }
}

TEST_SUITE("http server")
{
    TEST_CASE("dispatches a request to the handler with the longest prefix")
    {
        http_server server("test", {"127.0.0.1", 1}, {1, 2, 16});
        server.set_handler("/v1",
                           [](const http_request&) {
                               return http_reply{200, "", "one", 0};
                           });
        server.set_handler("/v1/deep",
                           [](const http_request&) {
                               return http_reply{200, "", "two", 0};
                           });
        CHECK(server.reply_to({"GET", "/v1/x", "", "", false}).body == "one");
        CHECK(server.reply_to({"GET", "/v1/deep", "", "", false}).body ==
              "two");
        CHECK(server.reply_to({"GET", "/", "", "", false}).status == 404);
    }
}

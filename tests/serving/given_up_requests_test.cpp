#include "serving/target_call.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>

using namespace mangofold;
using namespace mangofold::serving;
using namespace mangofold::test;
using namespace std::chrono_literals;

namespace
{

/// More than the receive buffer below, less than a send buffer.
constexpr std::size_t body_bytes = 12'000;

/// A target that accepts a connection and reads nothing until it is told to, as
/// one that is cut off from the network.
struct unread_target
{
    explicit unread_target(asio::io_context& loop)
        : acceptor(loop, tcp::v4()), socket(loop)
    {
        acceptor.set_option(asio::socket_base::receive_buffer_size(2048));
        acceptor.bind({asio::ip::address_v4::loopback(), 0});
        acceptor.listen();
    }

    call_destination destination() const
    {
        return {{"t1", 1}, {"127.0.0.1", acceptor.local_endpoint().port()}};
    }

    /// Returns the bytes that arrive until the connection ends.
    std::size_t read_all()
    {
        acceptor.accept(socket);
        std::string received;
        error_code fault;
        asio::read(socket, asio::dynamic_buffer(received), fault);
        return received.size();
    }

    tcp::acceptor acceptor;
    tcp::socket socket;
};

} // namespace

// Guards against a target that gets a request seconds after it was given up, as
// the system goes on sending it after a cut of the network.
TEST_CASE_FIXTURE(serving_fixture, "a request that is given up is not sent on")
{
    unread_target target(loop);
    const auto call = std::make_shared<target_call>(
        context->connection_pool, dialect, target.destination());
    std::optional<target_call::outcome> outcome;
    const auto send = [&]() -> awaitable<void>
    {
        http_request request{http::verb::post, "/once/x", 11};
        request.body() = std::string(body_bytes, 'b');
        outcome = co_await call->send_request(request, "r1", 1s);
        call->abort();
    };
    spawn(loop, send());
    settle();
    time.advance(1001ms);
    run_until([&] { return outcome.has_value(); });
    CHECK(outcome == target_call::outcome::timed_out);
    CHECK(target.read_all() < body_bytes);
}

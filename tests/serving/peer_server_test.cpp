#include "serving/peer_server.hpp"
#include "support/serving_fixture.hpp"

#include <doctest/doctest.h>

#include <boost/asio/ip/address_v4.hpp>

using namespace mangofold;
using namespace mangofold::serving;

namespace
{

/// An entry with a catalog that no kernel takes whole, and others that ask
/// for it.
struct giving_entry : test::serving_fixture
{
    giving_entry() : text(std::make_shared<const std::string>(64U << 20U, 'x'))
    {
        context->settings.peers = {"127.0.0.1", free_port()};
        server.emplace(
            *context, *piece_gatherer, [](const std::string&) {},
            [](std::size_t) { return peer::Holding(); },
            [this] { return text; });
        spawn(loop, server->run());
    }

    static std::uint16_t free_port()
    {
        asio::io_context other;
        const tcp::acceptor acceptor(other,
                                     {asio::ip::address_v4::loopback(), 0});
        return acceptor.local_endpoint().port();
    }

    /// Returns a connection of another entry, ...
    frame_socket_ptr connect()
    {
        tcp::socket socket(loop);
        socket.connect(
            {asio::ip::address_v4::loopback(), context->settings.peers.port});
        return std::make_shared<frame_socket>(std::move(socket));
    }

    /// ... on which it asks for the catalog.
    void ask(frame_socket& other)
    {
        peer::Frame frame;
        frame.mutable_want()->set_catalog(true);
        frame.mutable_want()->set_in_parts(true);
        other.send(frame);
    }

    /// Returns the first frame that comes to \a other.
    peer::Frame first_frame(const frame_socket_ptr& other)
    {
        std::optional<peer::Frame> came;
        spawn(loop, read(other, came));
        run_until([&] { return came.has_value(); });
        return *came;
    }

    static awaitable<void> read(frame_socket_ptr other,
                                std::optional<peer::Frame>& came)
    {
        came = co_await other->read();
    }

    std::shared_ptr<const std::string> text;
    std::optional<peer_server> server;
};

} // namespace

// Callers of an entry wait for seconds, with its processor idle.
// 1. All entries start at once. 2. Most ask the first one that holds the list
// or the configuration. 3. It gave them all a copy at once; its link was full.
TEST_CASE("an entry gives two copies at a time and sends others elsewhere")
{
    giving_entry entry;
    const auto first = entry.connect();
    const auto second = entry.connect();
    const auto third = entry.connect();
    entry.ask(*first);
    CHECK(entry.first_frame(first).has_catalog_part());
    entry.ask(*second);
    CHECK(entry.first_frame(second).has_catalog_part());
    entry.ask(*third);
    CHECK(entry.first_frame(third).has_declined());
    first->close();
    entry.settle();
    entry.ask(*third);
    CHECK(entry.first_frame(third).has_catalog_part());
}

#include "serving/catalog_parts.hpp"
#include "serving/frame_socket.hpp"

#include <doctest/doctest.h>

#include <boost/asio/ip/address_v4.hpp>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

/// Both ends of one connection.
struct connected_sockets
{
    connected_sockets()
    {
        tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
        tcp::socket client(loop);
        client.connect(acceptor.local_endpoint());
        sender = std::make_shared<frame_socket>(acceptor.accept());
        receiver = std::make_shared<frame_socket>(std::move(client));
        spawn(loop, read());
    }

    awaitable<void> read()
    {
        while (auto frame = co_await receiver->read())
        {
            if (frame->content_case() == peer::Frame::kPong)
                parts_before_pong = parts;
            if (frame->content_case() != peer::Frame::kCatalogPart)
                continue;
            ++parts;
            if (auto text = collector.add(frame->catalog_part()))
                catalog = std::move(text);
        }
    }

    void run(const std::function<bool()>& done)
    {
        for (int step = 0; step < 5000 && !done(); ++step)
            loop.run_for(1ms);
    }

    asio::io_context loop{1};
    frame_socket_ptr sender;
    frame_socket_ptr receiver;
    catalog_assembler collector;
    std::optional<std::string> catalog;
    std::size_t parts = 0;
    std::size_t parts_before_pong = 0;
};

std::shared_ptr<const std::string> make_text(std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += std::to_string(text.size()) + ",";
    return std::make_shared<const std::string>(std::move(text));
}

peer::CatalogPart make_part(std::uint64_t size, std::uint64_t offset,
                            const std::string& text)
{
    peer::CatalogPart message;
    message.set_size(size);
    message.set_offset(offset);
    message.set_text(text);
    return message;
}

awaitable<void> count_frames(frame_socket_ptr from, std::size_t& frames,
                             bool& is_ended)
{
    while (const auto frame = co_await from->read())
        ++frames;
    is_ended = true;
}

} // namespace

// Guards against answers and finished pieces that arrive seconds late because
// they are queued behind a whole catalog on the same connection.
TEST_CASE("urgent frames overtake the parts of a bulk transfer")
{
    connected_sockets sockets;
    const auto text = make_text(8 << 20);
    sockets.sender->start_bulk_transfer(catalog_part_source(text));
    sockets.run([&] { return sockets.parts > 0; });
    peer::Frame pong;
    pong.mutable_pong();
    sockets.sender->send(pong);
    sockets.run([&] { return sockets.catalog.has_value(); });
    REQUIRE(sockets.catalog);
    CHECK(*sockets.catalog == *text);
    CHECK(sockets.parts_before_pong > 0);
    CHECK(sockets.parts_before_pong < sockets.parts / 2);
}

TEST_CASE("a stopped bulk transfer sends no more parts")
{
    connected_sockets sockets;
    sockets.sender->start_bulk_transfer(
        catalog_part_source(make_text(8 << 20)));
    sockets.run([&] { return sockets.parts > 0; });
    sockets.sender->stop_bulk_transfer();
    const std::size_t before = sockets.parts;
    sockets.loop.run_for(200ms);
    CHECK_FALSE(sockets.catalog);
    CHECK(sockets.parts < before + 200);
    sockets.sender->start_bulk_transfer(catalog_part_source(make_text(100000)));
    sockets.run([&] { return sockets.catalog.has_value(); });
    CHECK(sockets.catalog);
}

TEST_CASE("catalog parts that are not contiguous are rejected")
{
    catalog_assembler collector;
    CHECK_FALSE(collector.add(make_part(6, 0, "abc")));
    CHECK_FALSE(collector.add(make_part(6, 4, "ef")));
    CHECK_FALSE(collector.add(make_part(6, 3, "def")));
    CHECK_FALSE(collector.add(make_part(6, 0, "abc")));
    CHECK(collector.add(make_part(6, 3, "def")) == "abcdef");
    CHECK_FALSE(collector.add(make_part(6, 0, "abcdefgh")));
    CHECK_FALSE(collector.add(make_part(1ULL << 40U, 0, "abc")));
    CHECK_FALSE(collector.add(make_part(1ULL << 40U, 3, "abc")));
    CHECK_FALSE(collector.add(make_part(0, 0, "")));
}

// Guards against a frame of an entry that was killed while it sent: the system
// ends its connections in order.
TEST_CASE("a frame that is cut at any byte is not read")
{
    peer::Frame part;
    *part.mutable_catalog_part() = make_part(3, 0, "abc");
    const std::string body = part.SerializeAsString();
    REQUIRE(body.size() < 256);
    const std::string bytes =
        std::string(3, '\0') + static_cast<char>(body.size()) + body;
    for (std::size_t size = 0; size <= bytes.size(); ++size)
    {
        CAPTURE(size);
        asio::io_context loop{1};
        tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
        tcp::socket sender(loop);
        sender.connect(acceptor.local_endpoint());
        const auto receiver = std::make_shared<frame_socket>(acceptor.accept());
        asio::write(sender, asio::buffer(bytes.data(), size));
        sender.close();
        std::size_t frames = 0;
        bool is_ended = false;
        spawn(loop, count_frames(receiver, frames, is_ended));
        for (int step = 0; step < 1000 && !is_ended; ++step)
            loop.run_for(1ms);
        CHECK(is_ended);
        CHECK(frames == (size == bytes.size() ? 1 : 0));
    }
}

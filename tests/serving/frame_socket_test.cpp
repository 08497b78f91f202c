#include "serving/catalog_parts.hpp"
#include "serving/frame_socket.hpp"

#include <doctest/doctest.h>

#include <boost/asio/ip/address_v4.hpp>

using namespace mangofold;
using namespace mangofold::serving;
using namespace std::chrono_literals;

namespace
{

/// Two ends of one connection.
struct joined
{
    joined()
    {
        tcp::acceptor acceptor(loop, {asio::ip::address_v4::loopback(), 0});
        tcp::socket far(loop);
        far.connect(acceptor.local_endpoint());
        near = std::make_shared<frame_socket>(acceptor.accept());
        other = std::make_shared<frame_socket>(std::move(far));
        spawn(loop, read());
    }

    awaitable<void> read()
    {
        while (auto frame = co_await other->read())
        {
            if (frame->content_case() == peer::Frame::kPong)
                pong_after = parts;
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
    frame_socket_ptr near;
    frame_socket_ptr other;
    catalog_collector collector;
    std::optional<std::string> catalog;
    std::size_t parts = 0;
    std::size_t pong_after = 0;
};

std::shared_ptr<const std::string> text_of(std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += std::to_string(text.size()) + ",";
    return std::make_shared<const std::string>(std::move(text));
}

peer::CatalogPart part(std::uint64_t size, std::uint64_t offset,
                       const std::string& text)
{
    peer::CatalogPart made;
    made.set_size(size);
    made.set_offset(offset);
    made.set_text(text);
    return made;
}

} // namespace

// Answers to a fleet's questions and finished pieces come seconds late, since
// they stand behind a whole catalog on the connection.
TEST_CASE("what is urgent passes the parts of something large")
{
    joined both;
    const auto text = text_of(8 << 20);
    both.near->send_in_parts(catalog_parts(text));
    both.run([&] { return both.parts > 0; });
    peer::Frame pong;
    pong.mutable_pong();
    both.near->send(pong);
    both.run([&] { return both.catalog.has_value(); });
    REQUIRE(both.catalog);
    CHECK(*both.catalog == *text);
    CHECK(both.pong_after > 0);
    CHECK(both.pong_after < both.parts / 2);
}

TEST_CASE("parts that are not wanted any more stop")
{
    joined both;
    both.near->send_in_parts(catalog_parts(text_of(8 << 20)));
    both.run([&] { return both.parts > 0; });
    both.near->drop_parts();
    const std::size_t before = both.parts;
    both.loop.run_for(200ms);
    CHECK_FALSE(both.catalog);
    CHECK(both.parts < before + 200);
    both.near->send_in_parts(catalog_parts(text_of(100000)));
    both.run([&] { return both.catalog.has_value(); });
    CHECK(both.catalog);
}

TEST_CASE("parts that do not follow each other make no catalog")
{
    catalog_collector collector;
    CHECK_FALSE(collector.add(part(6, 0, "abc")));
    CHECK_FALSE(collector.add(part(6, 4, "ef")));
    CHECK_FALSE(collector.add(part(6, 3, "def")));
    CHECK_FALSE(collector.add(part(6, 0, "abc")));
    CHECK(collector.add(part(6, 3, "def")) == "abcdef");
    CHECK_FALSE(collector.add(part(6, 0, "abcdefgh")));
    CHECK_FALSE(collector.add(part(1ULL << 40U, 0, "abc")));
    CHECK_FALSE(collector.add(part(1ULL << 40U, 3, "abc")));
    CHECK_FALSE(collector.add(part(0, 0, "")));
}

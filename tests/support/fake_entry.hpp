#pragma once

#include "serving/frame_socket.hpp"
#include "support/accept_all.hpp"

#include <boost/asio/ip/address_v4.hpp>

#include <memory>
#include <string>
#include <vector>

namespace mangofold::test
{

namespace asio = serving::asio;
using serving::awaitable;
using serving::error_code;
using serving::frame_socket;
using serving::frame_socket_ptr;
using serving::spawn;
using serving::store_error_in;
using serving::tcp;

/// A fake peer entry: records the jobs and catalogs that it is asked for, and
/// replies to pings only.
struct fake_entry
{
    explicit fake_entry(asio::io_context& io_context)
        : loop(io_context),
          acceptor(loop, {asio::ip::address_v4::loopback(), 0})
    {
        spawn(loop, accept_all(loop, acceptor,
                               [this](tcp::socket socket)
                               { return serve(std::move(socket)); }));
    }

    awaitable<void> serve(tcp::socket socket)
    {
        connection = std::make_shared<frame_socket>(std::move(socket));
        ++connections;
        return read(connection);
    }

    awaitable<void> read(frame_socket_ptr socket)
    {
        while (auto frame = co_await socket->read())
        {
            if (frame->content_case() == peer::Frame::kJob)
                requested_jobs.push_back(frame->job().request());
            if (frame->content_case() == peer::Frame::kJobDropped)
                ++dropped_jobs;
            if (frame->content_case() == peer::Frame::kWant &&
                frame->want().catalog())
                ++catalog_requests;
            if (frame->content_case() != peer::Frame::kPing)
                continue;
            peer::Frame pong;
            *pong.mutable_pong()->mutable_holding() = holding;
            socket->send(pong);
        }
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    asio::io_context& loop;
    tcp::acceptor acceptor;
    frame_socket_ptr connection;
    std::size_t connections = 0;
    std::vector<std::string> requested_jobs;
    std::size_t dropped_jobs = 0;
    std::size_t catalog_requests = 0;
    peer::Holding holding;
};

} // namespace mangofold::test

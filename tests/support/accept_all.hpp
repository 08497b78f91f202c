#pragma once

#include "serving/asio.hpp"

#include <utility>

namespace mangofold::test
{

/// Accepts connections until \a acceptor is closed, and starts the coroutine
/// that \a serve returns for each socket.
template<typename Serve>
serving::awaitable<void> accept_all(serving::asio::io_context& loop,
                                    serving::tcp::acceptor& acceptor,
                                    Serve serve)
{
    for (;;)
    {
        serving::error_code fault;
        serving::tcp::socket socket =
            co_await acceptor.async_accept(serving::store_error_in(fault));
        if (fault)
            co_return;
        serving::spawn(loop, serve(std::move(socket)));
    }
}

} // namespace mangofold::test

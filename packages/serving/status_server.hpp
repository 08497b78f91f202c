#pragma once

#include "serving/entry_context.hpp"

#include <functional>
#include <string>

namespace mangofold::serving
{

/// Answers plain questions about this process: whether it is ready, its
/// metrics.
class status_server
{
public:
    struct reply
    {
        unsigned status = 200;
        std::string body;
    };
    using question = std::function<reply(const std::string& path)>;

    status_server(entry_context& context, const runtime::address& where,
                  question ask);

    /// Answers for ever.
    awaitable<void> run();

private:
    awaitable<void> serve(tcp::socket socket);

    entry_context& m_context;
    tcp::acceptor m_acceptor;
    question m_ask;
};

} // namespace mangofold::serving

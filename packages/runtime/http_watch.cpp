#include "runtime/http_watch.hpp"

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>
#include <cxxtools/timespan.h>

#include <exception>

namespace mangofold::runtime
{

namespace
{

/// The interval of the checks for the timeout and for a stop.
constexpr std::chrono::milliseconds check_interval{50};

/// Whether a response with \a header shows its end by itself. Otherwise it
/// ends with its connection, as a part does whose server was killed.
bool shows_end(const cxxtools::http::ReplyHeader& header)
{
    constexpr unsigned no_content = 204;
    return header.httpReturnCode() == no_content ||
           header.hasHeader("Content-Length") ||
           header.chunkedTransferEncoding();
}

class watcher : public cxxtools::Connectable
{
public:
    explicit watcher(const address& server)
        : m_client(m_selector, server.host, server.port)
    {
        cxxtools::connect(m_client.replyFinished, *this,
                          &watcher::handle_finished);
        cxxtools::connect(m_client.bodyAvailable, *this, &watcher::handle_body);
    }

    http_response wait(const std::string& path, decision::duration timeout,
                       const std::function<bool()>& should_continue)
    {
        const std::size_t query_start = path.find('?');
        cxxtools::http::Request request(path.substr(0, query_start));
        if (query_start != std::string::npos)
            request.qparams(path.substr(query_start + 1));
        m_client.beginExecute(request);
        decision::duration waited{};
        while (!m_is_finished && waited < timeout && should_continue())
        {
            m_client.wait(cxxtools::Milliseconds(
                static_cast<double>(check_interval.count())));
            waited += check_interval;
        }
        if (!m_is_finished)
            throw http_error(
                http_error::kind::no_answer,
                "timed out or cancelled while waiting for the response");
        m_client.endExecute();
        if (!shows_end(m_client.header()))
            throw http_error(http_error::kind::no_answer,
                             "the response has neither a length nor chunks");
        return {m_client.header().httpReturnCode(), m_body};
    }

private:
    void handle_finished(cxxtools::http::Client&) { m_is_finished = true; }

    std::size_t handle_body(cxxtools::http::Client& client)
    {
        std::size_t count = 0;
        std::streambuf* in = client.in().rdbuf();
        while (in->in_avail() > 0)
        {
            m_body += static_cast<char>(in->sbumpc());
            ++count;
        }
        return count;
    }

    cxxtools::Selector m_selector;
    cxxtools::http::Client m_client;
    bool m_is_finished = false;
    std::string m_body;
};

} // namespace

http_response watch(const address& server, const std::string& path,
                    decision::duration timeout,
                    const std::function<bool()>& should_continue)
{
    try
    {
        return watcher(server).wait(path, timeout, should_continue);
    }
    catch (const http_error&)
    {
        throw;
    }
    catch (const std::exception& error)
    {
        throw http_error(http_error::kind::no_answer, error.what());
    }
}

} // namespace mangofold::runtime

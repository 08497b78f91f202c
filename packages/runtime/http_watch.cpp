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

constexpr std::chrono::milliseconds step{50};

class watcher : public cxxtools::Connectable
{
public:
    explicit watcher(const address& server)
        : m_client(m_selector, server.host, server.port)
    {
        cxxtools::connect(m_client.replyFinished, *this, &watcher::finished);
        cxxtools::connect(m_client.bodyAvailable, *this, &watcher::arrived);
    }

    http_answer wait(const std::string& path, decision::duration timeout,
                     const std::function<bool()>& goes_on)
    {
        const std::size_t question = path.find('?');
        cxxtools::http::Request request(path.substr(0, question));
        if (question != std::string::npos)
            request.qparams(path.substr(question + 1));
        m_client.beginExecute(request);
        decision::duration waited{};
        while (!m_is_finished && waited < timeout && goes_on())
        {
            m_client.wait(
                cxxtools::Milliseconds(static_cast<double>(step.count())));
            waited += step;
        }
        if (!m_is_finished)
            throw http_error(http_error::kind::no_answer, "given up");
        m_client.endExecute();
        return {m_client.header().httpReturnCode(), m_body};
    }

private:
    void finished(cxxtools::http::Client&) { m_is_finished = true; }

    std::size_t arrived(cxxtools::http::Client& from)
    {
        std::size_t count = 0;
        std::streambuf* in = from.in().rdbuf();
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

http_answer watch(const address& server, const std::string& path,
                  decision::duration timeout,
                  const std::function<bool()>& goes_on)
{
    try
    {
        return watcher(server).wait(path, timeout, goes_on);
    }
    catch (const http_error&)
    {
        throw;
    }
    catch (const std::exception& fault)
    {
        throw http_error(http_error::kind::no_answer, fault.what());
    }
}

} // namespace mangofold::runtime

#include "runtime/http_server.hpp"

#include "runtime/event.hpp"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/regex.h>

#include <atomic>
#include <exception>
#include <thread>

namespace mangofold::runtime
{

namespace
{

class responder : public cxxtools::http::Responder
{
public:
    responder(cxxtools::http::Service& service, const http_server& server)
        : cxxtools::http::Responder(service), m_server(server)
    {
    }

    void beginRequest(cxxtools::net::TcpSocket&, std::istream&,
                      cxxtools::http::Request&) override
    {
        m_body.clear();
        m_is_too_large = false;
    }

    std::size_t readBody(std::istream& in) override
    {
        std::size_t count = 0;
        std::streambuf* buffer = in.rdbuf();
        while (buffer->in_avail() > 0)
        {
            char block[4096];
            const auto size = buffer->sgetn(
                block,
                std::min<std::streamsize>(sizeof block, buffer->in_avail()));
            if (size <= 0)
                break;
            count += static_cast<std::size_t>(size);
            append(block, static_cast<std::size_t>(size));
        }
        return count;
    }

    void reply(std::ostream& out, cxxtools::http::Request& request,
               cxxtools::http::Reply& reply) override
    {
        http_reply result;
        try
        {
            result = m_server.reply_to({request.method(), request.url(),
                                        request.qparams(), std::move(m_body),
                                        m_is_too_large});
        }
        catch (const std::exception& error)
        {
            event("handler_threw").with("fault", error.what()).error();
            result.status = 500;
            result.body = R"({"reason":"internal"})";
        }
        m_body.clear();
        reply.httpReturn(result.status, "");
        reply.setHeader("Content-Type", result.content_type.c_str());
        if (result.retry_after_s > 0)
            reply.setHeader("Retry-After",
                            std::to_string(result.retry_after_s).c_str());
        out << result.body;
    }

private:
    void append(const char* block, std::size_t size)
    {
        if (m_body.size() + size > m_server.max_body())
        {
            m_is_too_large = true;
            m_body.clear();
        }
        if (!m_is_too_large)
            m_body.append(block, size);
    }

    const http_server& m_server;
    std::string m_body;
    bool m_is_too_large = false;
};

class service : public cxxtools::http::Service
{
public:
    explicit service(const http_server& server) : m_server(server) {}

protected:
    cxxtools::http::Responder*
    createResponder(const cxxtools::http::Request&) override
    {
        return new responder(*this, m_server);
    }

    void releaseResponder(cxxtools::http::Responder* released) override
    {
        delete released;
    }

private:
    const http_server& m_server;
};

} // namespace

class http_server::event_loop
{
public:
    explicit event_loop(const http_server& owner)
        : m_service(owner), m_server(m_loop)
    {
        m_server.minThreads(owner.m_bounds.min_threads);
        m_server.maxThreads(owner.m_bounds.max_threads);
        m_server.addService(cxxtools::Regex("/.*"), m_service);
        m_server.listen(owner.m_listen.host, owner.m_listen.port);
        m_thread = std::thread([this] { run(); });
    }

    ~event_loop()
    {
        m_loop.exit();
        m_thread.join();
    }

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    bool has_ended() const { return m_has_ended; }

private:
    void run()
    {
        try
        {
            m_loop.run();
        }
        catch (const std::exception& error)
        {
            event("http_loop_threw").with("fault", error.what()).error();
        }
        m_has_ended = true;
    }

    cxxtools::EventLoop m_loop;
    service m_service;
    cxxtools::http::Server m_server;
    std::atomic<bool> m_has_ended{false};
    std::thread m_thread;
};

http_server::http_server(std::string name, address listen, bounds limits)
    : m_name(std::move(name)), m_listen(std::move(listen)), m_bounds(limits)
{
}

http_server::~http_server() = default;

void http_server::set_handler(const std::string& prefix, handler value)
{
    m_handlers[prefix] = std::move(value);
}

void http_server::start()
{
    m_event_loop = std::make_unique<event_loop>(*this);
}

void http_server::stop() noexcept
{
    m_event_loop.reset();
}

bool http_server::has_failed() const
{
    return m_event_loop && m_event_loop->has_ended();
}

http_reply http_server::reply_to(const http_request& request) const
{
    // The map is sorted, so of the prefixes of one path the longest is last.
    const handler* best = nullptr;
    for (const auto& [prefix, candidate] : m_handlers)
    {
        if (request.path.starts_with(prefix))
            best = &candidate;
    }
    if (best != nullptr)
        return (*best)(request);
    return {404, "application/json", R"({"reason":"no_such_path"})", 0};
}

} // namespace mangofold::runtime

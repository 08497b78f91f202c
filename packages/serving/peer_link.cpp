#include "serving/peer_link.hpp"

#include "runtime/event.hpp"
#include "serving/peer_messages.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace mangofold::serving
{

namespace
{

/// Where this process asks this many times later than it meant to, it stood
/// still itself.
constexpr int stood_still = 3;

/// How long a connection may take to be made, at first, and a quarter longer
/// with each try up to the longest. An instance that is not up yet answers
/// nothing: a first try of half a second kept entries that started together
/// from finding each other for as long.
constexpr duration first_connect_time = std::chrono::milliseconds(100);
constexpr duration longest_connect_time = std::chrono::milliseconds(500);

/// A connection that ended sooner is not made again without a pause.
constexpr duration least_connection = std::chrono::milliseconds(500);

/// The pause before an entry that could not be reached is tried again, a
/// quarter longer each time up to the longest. Entries that start together do
/// so within some tenths of a second, and one that starts a little sooner
/// finds no seed yet.
constexpr duration first_retry_pause = std::chrono::milliseconds(20);
constexpr duration longest_retry_pause = std::chrono::milliseconds(400);

} // namespace

peer_link::peer_link(entry_context& context, peer_listener& listener,
                     std::string address)
    : m_context(context), m_listener(listener), m_address(std::move(address)),
      m_connect_time(first_connect_time), m_watch_now(context.loop),
      m_news(context)
{
}

awaitable<bool> peer_link::connect()
{
    const runtime::address where = runtime::address::parse(m_address);
    auto socket = std::make_shared<tcp::socket>(m_context.loop);
    loop_timer guard(m_context.loop, m_connect_time);
    m_connect_time =
        std::min(m_connect_time + m_connect_time / 4, longest_connect_time);
    guard.async_wait(
        [socket](const error_code& fault)
        {
            error_code ignored; // It is given up either way.
            if (!fault)
                socket->close(ignored);
        });
    error_code fault;
    const tcp::endpoint there(asio::ip::make_address_v4(where.host),
                              where.port);
    co_await socket->async_connect(there, store_error_in(fault));
    guard.cancel();
    if (fault || !socket->is_open())
        co_return false;
    m_connect_time = first_connect_time;
    m_socket = std::make_shared<frame_socket>(std::move(*socket));
    m_news.begin_anew();
    peer::Frame hello;
    hello.mutable_hello()->set_address(m_context.settings.announced.text());
    m_socket->send(hello);
    co_return true;
}

awaitable<void> peer_link::run()
{
    const auto keep = shared_from_this();
    bool is_connected = false;
    duration pause = first_retry_pause;
    while (!m_is_closed)
    {
        if (!is_connected)
            is_connected = co_await connect();
        if (is_connected)
        {
            pause = first_retry_pause;
            ask_again();
            m_is_silent = false;
            const instant began = m_context.now();
            spawn(m_context.loop, ping());
            co_await listen();
            is_connected = false;
            if (may_be_back(began))
                is_connected = co_await connect();
            if (is_connected)
                continue;
            lose();
        }
        loop_timer timer(m_context.loop, pause);
        error_code ignored; // Nobody cancels it.
        co_await timer.async_wait(store_error_in(ignored));
        pause = std::min(pause + pause / 4, longest_retry_pause);
    }
}

// A connection that is reset says little about the other entry. Handing its
// work to the next one for the moment until it is back would have both send
// calls to the same targets, neither of them full. One that fell silent is
// not waited for.
bool peer_link::may_be_back(instant began) const
{
    return !m_is_closed && !m_is_silent &&
           m_context.now() >= began + least_connection;
}

void peer_link::ask_again()
{
    for (const auto& [number, one] : m_asked)
        m_socket->send(job_frame(one.service, one.job, m_context.now()));
}

void peer_link::close()
{
    m_is_closed = true;
    if (m_socket)
        m_socket->close();
}

awaitable<void> peer_link::ping()
{
    const auto keep = shared_from_this();
    const frame_socket_ptr socket = m_socket;
    m_heard_at = m_context.now();
    std::uint64_t read_before = 0;
    while (socket->is_open())
    {
        peer::Frame frame;
        *frame.mutable_ping()->mutable_holding() = m_listener.holding();
        m_news.write(*frame.mutable_ping()->mutable_news());
        socket->send(frame);
        const instant asked_at = m_context.now();
        const auto watch = m_listener.watch_of(m_address, !m_asked.empty());
        const bool is_given_work = co_await m_watch_now.wait(watch.interval);
        const instant now = m_context.now();
        // Where this process itself stood still, the other one's silence
        // says nothing; it gets the full time to answer from now on. The same
        // goes for one that was watched from afar until now.
        if (is_given_work || now - asked_at > watch.interval * stood_still)
            m_heard_at = now;
        drop_unwanted();
        // A frame that is long on its way over a narrow link is no silence.
        if (socket->bytes_read() !=
            std::exchange(read_before, socket->bytes_read()))
            m_heard_at = now;
        if (now - m_heard_at > watch.silence)
        {
            runtime::event("entry_silent").with("entry", m_address).warn();
            m_is_silent = true;
            socket->close();
        }
    }
}

awaitable<void> peer_link::listen()
{
    const frame_socket_ptr socket = m_socket;
    while (auto frame = co_await socket->read())
    {
        m_heard_at = m_context.now();
        take(*frame);
    }
}

void peer_link::take(const peer::Frame& frame)
{
    switch (frame.content_case())
    {
    case peer::Frame::kPong:
        return take_pong(frame.pong());
    case peer::Frame::kCatalog:
        return m_listener.take_catalog(m_address, frame.catalog().text());
    case peer::Frame::kCatalogPart:
        return take_part(frame.catalog_part());
    case peer::Frame::kDeclined:
        return m_listener.note_declined(m_address);
    case peer::Frame::kTargets:
        return m_listener.take_targets(m_address, frame.targets());
    case peer::Frame::kEnds:
        return take_ends(m_context, frame.ends(), m_address);
    case peer::Frame::kJobEnd:
    {
        const auto asked = m_asked.find(frame.job_end().number());
        if (asked == m_asked.end())
            return;
        const orphaned_job one = std::move(asked->second);
        m_asked.erase(asked);
        piece_outcome outcome = outcome_of(frame.job_end());
        if (one.wait->is_dropped())
            release(one.service, outcome.handles);
        one.wait->set_outcome(std::move(outcome));
        return;
    }
    case peer::Frame::kJobFetched:
    {
        const auto asked = m_asked.find(frame.job_fetched().number());
        if (asked != m_asked.end())
            asked->second.wait->set_fetched();
        return;
    }
    default:
        return;
    }
}

void peer_link::take_pong(const peer::Pong& pong)
{
    if (!m_is_alive)
        runtime::event("entry_found").with("entry", m_address).info();
    m_is_alive = true;
    take_ends(m_context, pong.news(), m_address);
    m_news.note_theirs(pong.holding().ends_summary());
    tell_ends();
    const peer::Want want = m_listener.note_holding(m_address, pong.holding());
    if (!want.catalog() && !want.targets())
        return;
    peer::Frame ask;
    *ask.mutable_want() = want;
    ask.mutable_want()->set_in_parts(true);
    m_socket->send(ask);
}

// What the other entry lacks goes at once, not with the next question, which
// may be seconds away in a large fleet.
void peer_link::tell_ends()
{
    peer::Frame frame;
    if (m_news.write(*frame.mutable_ends()))
        m_socket->send(frame);
}

void peer_link::take_part(const peer::CatalogPart& part)
{
    m_listener.note_catalog_part(m_address);
    if (const auto text = m_catalog.add(part))
        m_listener.take_catalog(m_address, *text);
}

void peer_link::drop_copy()
{
    if (!m_socket)
        return;
    peer::Frame frame;
    frame.mutable_want();
    m_socket->send(frame);
}

void peer_link::ask(const std::string& service, decision::stage_job job,
                    piece_wait_ptr wait)
{
    if (m_asked.empty())
        m_watch_now.raise();
    job.number = m_next_number++;
    m_socket->send(job_frame(service, job, m_context.now()));
    m_asked[job.number] = {service, std::move(job), std::move(wait)};
}

void peer_link::release(const std::string& service,
                        const std::vector<std::string>& handles)
{
    peer::Frame frame;
    peer::Release& message = *frame.mutable_release();
    message.set_service(service);
    for (const std::string& one : handles)
        message.add_handles(one);
    m_socket->send(frame);
}

void peer_link::drop_unwanted()
{
    for (auto one = m_asked.begin(); one != m_asked.end();)
    {
        if (!one->second.wait->is_dropped())
        {
            ++one;
            continue;
        }
        peer::Frame frame;
        frame.mutable_job_dropped()->set_number(one->first);
        m_socket->send(frame);
        one = m_asked.erase(one);
    }
}

void peer_link::lose()
{
    if (m_is_alive)
        runtime::event("entry_lost")
            .with("entry", m_address)
            .with("jobs", m_asked.size())
            .warn();
    m_is_alive = false;
    m_listener.note_lost(m_address);
    std::vector<orphaned_job> jobs;
    for (auto& [number, one] : std::exchange(m_asked, {}))
        if (!one.wait->is_dropped())
            jobs.push_back(std::move(one));
    if (!jobs.empty())
        m_listener.take_back(std::move(jobs));
}

} // namespace mangofold::serving

#include "serving/peer_link.hpp"

#include "runtime/event.hpp"
#include "serving/engine_scheduler.hpp"
#include "serving/peer_messages.hpp"
#include "serving/stream_registry.hpp"

#include <boost/asio/ip/address_v4.hpp>

namespace mangofold::serving
{

namespace
{

/// A ping that is late by this multiple of its interval shows that this process
/// itself was stalled.
constexpr int stall_factor = 3;

/// Time limit for connecting: it starts here and grows by a quarter with each
/// attempt up to the maximum. An instance that is still starting does not
/// answer at all; with a first limit of half a second, entries that started
/// together took as long to find each other.
constexpr duration initial_connect_timeout = std::chrono::milliseconds(100);
constexpr duration max_connect_timeout = std::chrono::milliseconds(500);

/// A connection that ended sooner than this is not reopened without a pause.
constexpr duration min_connection_time = std::chrono::milliseconds(500);

/// The pause before an attempt to reach an unreachable entry is repeated: it
/// grows by a quarter each time up to the maximum. Entries that are started
/// together come up within some tenths of a second, and one that is a little
/// earlier does not reach any seed yet.
constexpr duration initial_retry_pause = std::chrono::milliseconds(20);
constexpr duration max_retry_pause = std::chrono::milliseconds(400);

} // namespace

peer_link::peer_link(entry_context& context, peer_listener& listener,
                     std::string address)
    : m_context(context), m_listener(listener), m_address(std::move(address)),
      m_connect_timeout(initial_connect_timeout), m_ping_now(context.loop),
      m_crash_sync(context)
{
}

awaitable<bool> peer_link::connect()
{
    const runtime::address address = runtime::address::parse(m_address);
    auto socket = std::make_shared<tcp::socket>(m_context.loop);
    loop_timer timeout(m_context.loop, m_connect_timeout);
    m_connect_timeout = std::min(m_connect_timeout + m_connect_timeout / 4,
                                 max_connect_timeout);
    timeout.async_wait(
        [socket](const error_code& fault)
        {
            error_code ignored; // The socket is abandoned in any case.
            if (!fault)
                socket->close(ignored);
        });
    error_code fault;
    const tcp::endpoint endpoint(asio::ip::make_address_v4(address.host),
                                 address.port);
    co_await socket->async_connect(endpoint, store_error_in(fault));
    timeout.cancel();
    if (fault || !socket->is_open())
        co_return false;
    m_connect_timeout = initial_connect_timeout;
    m_socket = std::make_shared<frame_socket>(std::move(*socket));
    m_crash_sync.reset();
    peer::Frame hello;
    hello.mutable_hello()->set_address(
        m_context.settings.announced_address.text());
    m_socket->send(hello);
    co_return true;
}

awaitable<void> peer_link::run()
{
    const auto self = shared_from_this();
    bool is_connected = false;
    duration pause = initial_retry_pause;
    while (!m_is_closed)
    {
        if (!is_connected)
            is_connected = co_await connect();
        if (is_connected)
        {
            pause = initial_retry_pause;
            resubmit_jobs();
            m_is_silent = false;
            const instant connected_at = m_context.now();
            spawn(m_context.loop, ping());
            co_await listen();
            is_connected = false;
            if (should_reconnect_at_once(connected_at))
                is_connected = co_await connect();
            if (is_connected)
                continue;
            handle_loss();
        }
        loop_timer timer(m_context.loop, pause);
        error_code ignored; // No other code cancels this timer.
        co_await timer.async_wait(store_error_in(ignored));
        pause = std::min(pause + pause / 4, max_retry_pause);
    }
}

// A connection reset says little about the other entry. If its jobs moved to
// the next entry until the reconnect, both entries would send calls to the same
// targets, and neither could fill its calls. An entry that stopped answering
// gets no immediate reconnect.
bool peer_link::should_reconnect_at_once(instant connected_at) const
{
    return !m_is_closed && !m_is_silent &&
           m_context.now() >= connected_at + min_connection_time;
}

void peer_link::resubmit_jobs()
{
    for (const auto& [number, job] : m_submitted)
        m_socket->send(job_frame(job.service, job.job, m_context.now()));
}

void peer_link::close()
{
    m_is_closed = true;
    if (m_socket)
        m_socket->close();
}

awaitable<void> peer_link::ping()
{
    const auto self = shared_from_this();
    const frame_socket_ptr socket = m_socket;
    m_last_heard_at = m_context.now();
    std::uint64_t bytes_read_before = 0;
    while (socket->is_open())
    {
        peer::Frame frame;
        *frame.mutable_ping()->mutable_holding() = m_listener.holding();
        m_crash_sync.write(*frame.mutable_ping()->mutable_news());
        socket->send(frame);
        const instant asked_at = m_context.now();
        const auto watch =
            m_listener.probe_schedule_for(m_address, !m_submitted.empty());
        const bool is_ping_requested = co_await m_ping_now.wait(watch.interval);
        const instant now = m_context.now();
        // If this process was stalled, the other entry's silence says nothing,
        // and that entry gets the full time to answer from now on. The same
        // holds for an entry that was pinged at a longer interval until now.
        if (is_ping_requested || now - asked_at > watch.interval * stall_factor)
            m_last_heard_at = now;
        cancel_unwanted_jobs();
        // Bytes count as an answer: a large frame takes long on a narrow link.
        if (socket->bytes_read() !=
            std::exchange(bytes_read_before, socket->bytes_read()))
            m_last_heard_at = now;
        if (now - m_last_heard_at > watch.timeout)
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
        m_last_heard_at = m_context.now();
        handle_frame(*frame);
    }
}

void peer_link::handle_frame(const peer::Frame& frame)
{
    switch (frame.content_case())
    {
    case peer::Frame::kPong:
        return handle_pong(frame.pong());
    case peer::Frame::kCatalog:
        return m_listener.handle_catalog(m_address, frame.catalog().text());
    case peer::Frame::kCatalogPart:
        return handle_catalog_part(frame.catalog_part());
    case peer::Frame::kDeclined:
        return m_listener.note_copy_declined(m_address);
    case peer::Frame::kTargets:
        return m_listener.handle_targets(m_address, frame.targets());
    case peer::Frame::kEnds:
        return handle_target_crashes(m_context, frame.ends(), m_address);
    case peer::Frame::kPlacement:
        if (m_context.scheduler != nullptr)
            m_context.scheduler->handle_placement(m_address, frame.placement());
        return;
    case peer::Frame::kStreamAnswer:
        if (m_context.streams != nullptr)
            m_context.streams->handle_answer(m_address, frame.stream_answer());
        return;
    case peer::Frame::kJobEnd:
    {
        const auto submitted = m_submitted.find(frame.job_end().number());
        if (submitted == m_submitted.end())
            return;
        const routed_job job = std::move(submitted->second);
        m_submitted.erase(submitted);
        job_outcome outcome = read_outcome(frame.job_end());
        if (job.pending->is_cancelled())
            release(job.service, outcome.handles);
        job.pending->set_outcome(std::move(outcome));
        return;
    }
    case peer::Frame::kJobFetched:
    {
        const auto submitted = m_submitted.find(frame.job_fetched().number());
        if (submitted != m_submitted.end())
            submitted->second.pending->set_inputs_fetched();
        return;
    }
    default:
        return;
    }
}

void peer_link::handle_pong(const peer::Pong& pong)
{
    if (!m_is_alive)
        runtime::event("entry_found").with("entry", m_address).info();
    m_is_alive = true;
    handle_target_crashes(m_context, pong.news(), m_address);
    m_crash_sync.set_peer_summary(pong.holding().ends_summary());
    send_target_crashes();
    const peer::Want want =
        m_listener.handle_holding(m_address, pong.holding());
    if (!want.catalog() && !want.targets())
        return;
    peer::Frame request;
    *request.mutable_want() = want;
    request.mutable_want()->set_in_parts(true);
    m_socket->send(request);
}

// Target crashes are sent at once rather than with the next ping, which may be
// seconds away in a large fleet.
void peer_link::send_target_crashes()
{
    peer::Frame frame;
    if (m_crash_sync.write(*frame.mutable_ends()))
        m_socket->send(frame);
}

void peer_link::handle_catalog_part(const peer::CatalogPart& part)
{
    m_listener.note_catalog_part(m_address);
    if (const auto text = m_catalog.add(part))
        m_listener.handle_catalog(m_address, *text);
}

void peer_link::cancel_copy()
{
    if (!m_socket)
        return;
    peer::Frame frame;
    frame.mutable_want();
    m_socket->send(frame);
}

void peer_link::submit(const std::string& service, decision::stage_job job,
                       pending_job_ptr pending)
{
    if (m_submitted.empty())
        m_ping_now.set();
    job.number = m_next_number++;
    // At the next ping, pieces that nobody wants would be in a call already.
    pending->set_on_cancel(
        [link = weak_from_this()]
        {
            if (const auto self = link.lock())
                self->cancel_unwanted_jobs();
        });
    m_socket->send(job_frame(service, job, m_context.now()));
    m_submitted[job.number] = {service, std::move(job), std::move(pending)};
}

void peer_link::send(const peer::Frame& frame)
{
    if (m_is_alive && m_socket)
        m_socket->send(frame);
}

void peer_link::release(const std::string& service,
                        const std::vector<std::string>& handles)
{
    peer::Frame frame;
    peer::Release& message = *frame.mutable_release();
    message.set_service(service);
    for (const std::string& handle : handles)
        message.add_handles(handle);
    m_socket->send(frame);
}

void peer_link::cancel_unwanted_jobs()
{
    for (auto job = m_submitted.begin(); job != m_submitted.end();)
    {
        if (!job->second.pending->is_cancelled())
        {
            ++job;
            continue;
        }
        peer::Frame frame;
        frame.mutable_job_dropped()->set_number(job->first);
        m_socket->send(frame);
        job = m_submitted.erase(job);
    }
}

void peer_link::handle_loss()
{
    if (m_is_alive)
        runtime::event("entry_lost")
            .with("entry", m_address)
            .with("jobs", m_submitted.size())
            .warn();
    m_is_alive = false;
    m_listener.note_lost(m_address);
    std::vector<routed_job> jobs;
    for (auto& [number, job] : std::exchange(m_submitted, {}))
        if (!job.pending->is_cancelled())
            jobs.push_back(std::move(job));
    if (!jobs.empty())
        m_listener.take_back_jobs(std::move(jobs));
}

} // namespace mangofold::serving

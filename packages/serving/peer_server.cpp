#include "serving/peer_server.hpp"

#include "decision/entry_roster.hpp"
#include "runtime/event.hpp"
#include "serving/catalog_parts.hpp"
#include "serving/engine_scheduler.hpp"
#include "serving/peer_messages.hpp"
#include "serving/request_server.hpp"
#include "serving/stream_registry.hpp"

#include <algorithm>
#include <utility>

namespace mangofold::serving
{

namespace
{

/// Copies of the catalog or the target list that one entry sends at a time. Two
/// share the rate of the link; a third entry gets its copy sooner from the one
/// that has the first.
constexpr std::size_t max_copies = 2;

/// How often silent connections are looked for. If the timer is late by this
/// multiple, this process was stalled, and the silence says nothing.
constexpr duration watch_interval = std::chrono::milliseconds(250);
constexpr int stall_factor = 3;

std::size_t
wanted_count(const std::map<std::uint64_t, std::shared_ptr<bool>>& jobs)
{
    return static_cast<std::size_t>(std::count_if(
        jobs.begin(), jobs.end(), [](const auto& job) { return *job.second; }));
}

} // namespace

peer_server::peer_server(entry_context& context, piece_batcher& batcher,
                         hello_handler on_hello, holding_source holding,
                         catalog_source catalog_text)
    : m_context(context), m_batcher(batcher),
      m_hello_handler(std::move(on_hello)), m_holding(std::move(holding)),
      m_catalog_text(std::move(catalog_text)), m_acceptor(context.loop)
{
    listen_at(m_acceptor, context.settings.peer_address);
}

awaitable<void> peer_server::run()
{
    spawn(m_context.loop, watch_clients());
    for (;;)
    {
        error_code fault;
        tcp::socket socket =
            co_await m_acceptor.async_accept(store_error_in(fault));
        if (!fault)
            spawn(m_context.loop,
                  serve(std::make_shared<frame_socket>(std::move(socket))));
    }
}

awaitable<void> peer_server::serve(frame_socket_ptr socket)
{
    const auto client =
        std::make_shared<client_entry>(m_context, socket, ++m_last_connection);
    client->heard_at = m_context.now();
    m_clients.push_back(client);
    while (auto frame = co_await socket->read())
        handle_frame(*frame, client);
    for (auto& [number, is_wanted] : client->jobs)
        *is_wanted = false;
    if (m_context.scheduler != nullptr)
        m_context.scheduler->note_sender_lost(client->connection);
}

// An instance without power ends no connection. Without this check the jobs of
// its callers would go on until their deadlines.
awaitable<void> peer_server::watch_clients()
{
    loop_timer timer(m_context.loop);
    instant watched_at = m_context.now();
    for (;;)
    {
        error_code ignored; // No other code cancels this timer.
        timer.expires_after(watch_interval);
        co_await timer.async_wait(store_error_in(ignored));
        const instant now = m_context.now();
        const bool was_stalled =
            now > watched_at + watch_interval * stall_factor;
        watched_at = now;
        std::erase_if(m_clients,
                      [](const auto& client) { return client.expired(); });
        for (const auto& weak : m_clients)
        {
            const auto client = weak.lock();
            if (was_stalled)
                client->heard_at = now;
            if (is_silent(*client, now))
                drop(*client, "silent");
        }
    }
}

// An entry pings another one that has its jobs at the shorter interval.
bool peer_server::is_silent(client_entry& client, instant now) const
{
    const std::uint64_t bytes_read = client.socket->bytes_read();
    if (bytes_read != std::exchange(client.bytes_read, bytes_read) ||
        wanted_count(client.jobs) == 0)
        client.heard_at = now;
    const std::size_t entries =
        std::max(client.known_entries, m_context.responding_entries);
    return now >
           client.heard_at + decision::entry_roster::job_silence_limit(entries);
}

// An entry opens one connection, so it has lost those that it opened before.
void peer_server::close_former_connections(const client_entry& client)
{
    for (const auto& weak : m_clients)
    {
        const auto other = weak.lock();
        if (other && other.get() != &client && other->socket->is_open() &&
            other->address == client.address)
            drop(*other, "reconnected");
    }
}

void peer_server::drop(client_entry& client, std::string_view why)
{
    const std::size_t jobs = wanted_count(client.jobs);
    if (jobs > 0)
        runtime::event("entry_jobs_dropped")
            .with("entry", client.address)
            .with("jobs", jobs)
            .with("why", why)
            .warn();
    m_context.metrics.count(
        {"peer_jobs_dropped", runtime::label("why", why)}) += jobs;
    client.socket->close();
}

void peer_server::handle_ping(const peer::Ping& ping, client_entry& client)
{
    handle_target_crashes(m_context, ping.news(), client.address);
    client.crash_sync.set_peer_summary(ping.holding().ends_summary());
    client.known_entries = ping.holding().known();
    if (m_ping_handler)
        m_ping_handler(client.address, ping.holding());
    peer::Frame reply;
    *reply.mutable_pong()->mutable_holding() =
        m_holding(ping.holding().known());
    peer::Holding& own_state = *reply.mutable_pong()->mutable_holding();
    if (own_state.limits_digest() != ping.holding().limits_digest())
        write_request_limits(m_context.request_limits, m_context.now(),
                             own_state);
    client.crash_sync.write(*reply.mutable_pong()->mutable_news());
    client.socket->send(reply);
}

void peer_server::handle_frame(const peer::Frame& frame,
                               const std::shared_ptr<client_entry>& client)
{
    const frame_socket_ptr& socket = client->socket;
    wanted_jobs& jobs = client->jobs;
    switch (frame.content_case())
    {
    case peer::Frame::kHello:
        client->address = frame.hello().address();
        close_former_connections(*client);
        return m_hello_handler(client->address);
    case peer::Frame::kPing:
        return handle_ping(frame.ping(), *client);
    case peer::Frame::kEnds:
        return handle_target_crashes(m_context, frame.ends(), client->address);
    case peer::Frame::kWant:
        return handle_want(frame.want(), socket);
    case peer::Frame::kJob:
        return handle_job(frame.job(), client);
    case peer::Frame::kJobDropped:
    {
        const auto found = jobs.find(frame.job_dropped().number());
        if (found != jobs.end())
            *found->second = false;
        return;
    }
    case peer::Frame::kRelease:
        return m_batcher.release(frame.release().service(),
                                 {frame.release().handles().begin(),
                                  frame.release().handles().end()});
    case peer::Frame::kPlacementRequest:
        return handle_placement_request(frame.placement_request(), *client);
    case peer::Frame::kGenerationUpdate:
        if (m_context.scheduler != nullptr)
            m_context.scheduler->handle_update(client->connection,
                                               frame.generation_update());
        return;
    case peer::Frame::kStreamOrigins:
        if (m_context.streams != nullptr)
            m_context.streams->handle_origins(frame.stream_origins());
        return;
    case peer::Frame::kStreamQuestion:
        if (m_context.streams != nullptr)
            socket->send(
                m_context.streams->handle_question(frame.stream_question()));
        return;
    default:
        return;
    }
}

void peer_server::handle_placement_request(
    const peer::PlacementRequest& message, const client_entry& client)
{
    if (m_context.scheduler == nullptr)
        return;
    if (const auto reply =
            m_context.scheduler->handle_request(client.connection, message))
        client.socket->send(*reply);
}

// All entries that start at once ask the first ones that hold a list. If the
// list is sent to all of them, each copy takes seconds of the sender's link,
// and responses to its callers wait behind the copies.
bool peer_server::try_start_copy(const frame_socket_ptr& socket)
{
    std::erase_if(m_copy_sockets,
                  [&socket](const auto& copy)
                  {
                      const frame_socket_ptr other = copy.lock();
                      return !other || other == socket ||
                             !other->is_bulk_transfer_active();
                  });
    if (m_copy_sockets.size() >= max_copies)
        return false;
    m_copy_sockets.push_back(socket);
    return true;
}

void peer_server::handle_want(const peer::Want& want,
                              const frame_socket_ptr& socket)
{
    if (!want.targets() && !want.catalog())
        return socket->stop_bulk_transfer();
    peer::Frame reply;
    if (want.in_parts() && !try_start_copy(socket))
    {
        m_context.count("copies_declined", "what",
                        want.targets() ? "targets" : "catalog");
        reply.mutable_declined();
        return socket->send(reply);
    }
    if (want.targets())
        return socket->start_bulk_transfer(target_parts(m_context.directory));
    const auto text = m_catalog_text();
    if (!text)
        return;
    if (want.in_parts())
        return socket->start_bulk_transfer(catalog_part_source(text));
    reply.mutable_catalog()->set_text(*text);
    socket->send(reply);
}

void peer_server::handle_job(const peer::Job& message,
                             const std::shared_ptr<client_entry>& client)
{
    const frame_socket_ptr& socket = client->socket;
    wanted_jobs& jobs = client->jobs;
    std::erase_if(jobs, [](const auto& job) { return !*job.second; });
    const auto is_wanted = std::make_shared<bool>(true);
    jobs[message.number()] = is_wanted;
    m_batcher.add(
        message.service(), read_job(message, m_context.now()),
        [client, is_wanted, number = message.number()](job_outcome outcome)
        {
            const bool is_taken = *is_wanted && client->socket->is_open();
            *is_wanted = false;
            if (!is_taken)
                return false;
            // Targets may have crashed while they ran this job; the entry that
            // submitted the job must learn of the crashes before it submits
            // the job again.
            peer::Frame crashes_frame;
            if (outcome.status == decision::job_status::failed &&
                client->crash_sync.write(*crashes_frame.mutable_ends()))
                client->socket->send(crashes_frame);
            client->socket->send(job_end_frame(number, outcome));
            return true;
        },
        [is_wanted] { return *is_wanted; },
        [socket, number = message.number()]
        {
            peer::Frame frame;
            frame.mutable_job_fetched()->set_number(number);
            socket->send(frame);
        });
}

} // namespace mangofold::serving

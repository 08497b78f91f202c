#include "sidecar/link_server.hpp"

#include "runtime/event.hpp"
#include "sidecar/entry_stream.hpp"
#include "wire/callback_threads.hpp"
#include "wire/convert.hpp"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <stdexcept>
#include <vector>

namespace mangofold::sidecar
{

class link_server::service : public wire::Link::CallbackService
{
public:
    explicit service(link_server& owner) : m_owner(owner) {}

    grpc::ServerBidiReactor<wire::EntryBatch, wire::SidecarBatch>*
    Attach(grpc::CallbackServerContext*) override
    {
        const stream_ptr stream = m_owner.open_stream();
        stream->open();
        return stream.get();
    }

    void set_server(std::unique_ptr<grpc::Server> server)
    {
        m_server = std::move(server);
    }

    void shut_down()
    {
        constexpr std::chrono::milliseconds grace{200};
        m_server->Shutdown(std::chrono::system_clock::now() + grace);
        m_server->Wait();
    }

private:
    link_server& m_owner;
    std::unique_ptr<grpc::Server> m_server;
};

link_server::link_server(runtime::address listen, std::string target,
                         admission_controller& admission,
                         configuration::config_store& store,
                         runtime::metrics& counters)
    : m_listen(std::move(listen)), m_target(std::move(target)),
      m_admission(admission), m_store(store), m_metrics(counters)
{
}

link_server::~link_server()
{
    link_server::stop();
}

void link_server::start()
{
    wire::keep_callback_threads();
    m_service = std::make_unique<service>(*this);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort(m_listen.text(), grpc::InsecureServerCredentials(),
                             &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.RegisterService(m_service.get());
    std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
    if (!server || port == 0)
    {
        m_service.reset();
        throw std::runtime_error("cannot listen on " + m_listen.text());
    }
    m_service->set_server(std::move(server));
}

void link_server::stop() noexcept
{
    if (!m_service)
        return;
    std::vector<stream_ptr> streams;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [link, stream] : m_streams)
            streams.push_back(stream);
    }
    for (const stream_ptr& stream : streams)
        stream->end();
    m_service->shut_down();
    m_service.reset();
}

link_server::stream_ptr link_server::open_stream()
{
    const std::lock_guard lock(m_mutex);
    const decision::link_id link = m_next_link++;
    auto stream = std::make_shared<entry_stream>(*this, link);
    m_streams.emplace(link, stream);
    return stream;
}

// The previous stream of the same entry may still hold submissions that the
// entry has abandoned and sent again on the new stream. Closing the previous
// stream first revokes its grants, so a refusal on the new stream also means
// that no earlier submission can start.
void link_server::identify_stream(entry_stream& stream,
                                  const std::string& entry_id)
{
    stream_ptr previous;
    std::deque<decision::target_crash> crashes;
    {
        const std::lock_guard lock(m_mutex);
        const auto known = m_links_by_entry.find(entry_id);
        if (known != m_links_by_entry.end())
        {
            const auto found = m_streams.find(known->second);
            if (found != m_streams.end())
                previous = found->second;
        }
        m_links_by_entry[entry_id] = stream.link();
        stream.set_entry_id(entry_id);
        crashes = m_crashes;
    }
    if (previous && previous.get() != &stream)
        previous->end();
    // An entry that has just started does not know the earlier crashes.
    for (const decision::target_crash& crash : crashes)
        send_crash(stream, crash, m_admission.now());
    send_grant(stream);
}

void link_server::remove_stream(entry_stream& stream)
{
    {
        const std::lock_guard lock(m_mutex);
        m_streams.erase(stream.link());
        const auto known = m_links_by_entry.find(stream.entry_id());
        if (known != m_links_by_entry.end() && known->second == stream.link())
            m_links_by_entry.erase(known);
    }
    m_admission.close_link(stream.link());
}

void link_server::send(const decision::send_result& result,
                       const decision::target_load& load)
{
    stream_ptr stream;
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_streams.find(result.ref.link);
        if (found == m_streams.end())
            return;
        stream = found->second;
    }
    wire::SidecarMessage message;
    wire::Result& body = *message.mutable_result();
    wire::to_wire(result.result, body);
    body.set_number(result.ref.number);
    body.set_request_id(result.key.request_id);
    body.set_stage(result.key.stage);
    body.set_attempt(result.attempt);
    *body.mutable_load() = wire::to_wire(load);
    stream->send_with_generation(std::move(message));
}

void link_server::report_target_crash(const decision::target_crash& crash)
{
    {
        const std::lock_guard lock(m_mutex);
        m_crashes.push_back(crash);
        if (m_crashes.size() > max_crashes)
            m_crashes.pop_front();
    }
    for (const stream_ptr& stream : identified_streams())
        send_crash(*stream, crash, m_admission.now());
}

void link_server::send_crash(entry_stream& stream,
                             const decision::target_crash& crash,
                             decision::instant now)
{
    wire::SidecarMessage message;
    wire::to_wire(crash, now, *message.mutable_target_lost());
    stream.send_with_generation(std::move(message));
}

std::vector<link_server::stream_ptr> link_server::identified_streams() const
{
    std::vector<stream_ptr> identified;
    const std::lock_guard lock(m_mutex);
    for (const auto& [link, stream] : m_streams)
        if (stream->is_identified())
            identified.push_back(stream);
    return identified;
}

void link_server::renew_grants()
{
    for (const stream_ptr& stream : identified_streams())
        send_grant(*stream);
}

void link_server::send_grant(entry_stream& stream)
{
    const grant_notice notice = m_admission.renew_grant(stream.link());
    wire::SidecarMessage message;
    wire::Grant& grant = *message.mutable_grant();
    grant.set_incarnation(notice.grant.incarnation);
    grant.set_serial(notice.grant.serial);
    grant.set_leaving(notice.is_leaving);
    grant.set_target_id(m_target);
    grant.set_entry_count(static_cast<std::uint32_t>(link_count()));
    *grant.mutable_load() = wire::to_wire(notice.load);
    stream.send_with_generation(std::move(message));
}

void link_server::announce_generation()
{
    std::vector<stream_ptr> streams;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [link, stream] : m_streams)
            streams.push_back(stream);
    }
    for (const stream_ptr& stream : streams)
        stream->send_with_generation({});
}

bool link_server::is_flushed() const
{
    const std::lock_guard lock(m_mutex);
    return std::all_of(m_streams.begin(), m_streams.end(),
                       [](const auto& link_and_stream)
                       { return link_and_stream.second->is_flushed(); });
}

std::size_t link_server::link_count() const
{
    const std::lock_guard lock(m_mutex);
    return m_streams.size();
}

} // namespace mangofold::sidecar

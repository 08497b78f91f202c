#include "serving/records/keeper_client.hpp"

#include "runtime/event.hpp"
#include "serving/records/datagram.hpp"

#include <algorithm>
#include <utility>

namespace mangofold::serving
{

using asio::ip::udp;

namespace
{

constexpr duration probe_interval = std::chrono::milliseconds(200);

} // namespace

// Without a socket, copies are placed at entries only.
keeper_client::keeper_client(entry_context& context)
    : m_context(context), m_socket(context.loop)
{
    error_code fault;
    m_socket.open(udp::v4(), fault);
    if (!fault)
        m_socket.bind(
            udp::endpoint(
                asio::ip::make_address(context.settings.peer_address.host), 0),
            fault);
    // A datagram that would have to wait is as one that is lost.
    if (!fault)
        m_socket.non_blocking(true, fault);
    if (!fault)
        return;
    runtime::event("record_keepers_unreachable")
        .with("fault", fault.message())
        .error();
    m_socket.close(fault);
}

std::vector<std::string> keeper_client::candidates() const
{
    return m_roster.candidates(m_context.now());
}

std::set<std::string> keeper_client::confirmed() const
{
    return m_roster.confirmed(m_context.now());
}

std::vector<std::string>
keeper_client::successors_of(const std::string& address) const
{
    std::vector<decision::successor_candidate> candidates;
    for (const std::string& keeper : m_roster.confirmed(m_context.now()))
        if (const auto found = m_successors.find(keeper);
            found != m_successors.end())
            candidates.push_back(found->second);
    return decision::successors_of(address, std::move(candidates));
}

// A record keeper runs on the host of a target. Those of services that generate
// no streams need none, and have none.
void keeper_client::update_addresses()
{
    const std::uint16_t port = m_context.settings.record_keeper_port;
    if (m_directory_changes == m_context.directory.change_count() &&
        m_catalog == m_context.catalog && m_port == port)
        return;
    m_directory_changes = m_context.directory.change_count();
    m_catalog = m_context.catalog;
    m_port = port;
    std::set<std::string> services;
    if (m_catalog && port != 0 && m_socket.is_open())
        for (const catalog::route& route : m_catalog->content().routes)
            if (route.is_stream)
                for (const catalog::weighted_service& choice : route.services)
                    services.insert(choice.service);
    std::set<std::string> addresses;
    m_successors.clear();
    for (const decision::listed_target& target : m_context.directory.all())
    {
        if (target.address.empty() || !services.contains(target.service))
            continue;
        const std::string address =
            runtime::address{runtime::address::parse(target.address).host, port}
                .text();
        addresses.insert(address);
        if (target.is_leaving)
            continue;
        decision::successor_candidate& newest = m_successors[address];
        newest.address = address;
        newest.started_ms =
            std::max(newest.started_ms, target.incarnation.started_ms);
        newest.revision = std::max(newest.revision, target.revision);
    }
    m_roster.set_listed(addresses);
    std::erase_if(m_sent, [this](const auto& sent)
                  { return !m_roster.is_listed(sent.second.to); });
}

void keeper_client::transmit(const std::string& address,
                             const peer::Frame& frame)
{
    const runtime::address to = runtime::address::parse(address);
    error_code fault; // What is not sent is sent again, as what is lost.
    m_socket.send_to(asio::buffer(frame.SerializeAsString()),
                     udp::endpoint(asio::ip::make_address(to.host), to.port), 0,
                     fault);
}

void keeper_client::send(const std::string& address, const peer::Frame& frame)
{
    const bool needs_reply = frame.has_stream_origins() ||
                             frame.has_version_observation() ||
                             frame.has_ends();
    if (!needs_reply)
        return transmit(address, frame);
    const std::uint64_t number = ++m_last_number;
    peer::Frame& sent =
        m_sent.insert_or_assign(number, sent_frame{address, frame})
            .first->second.frame;
    if (sent.has_stream_origins())
        sent.mutable_stream_origins()->set_number(number);
    else if (sent.has_ends())
        sent.mutable_ends()->set_number(number);
    else
        sent.mutable_version_observation()->set_number(number);
    m_roster.note_sent(address, number, m_context.now());
    transmit(address, sent);
}

void keeper_client::note_lost(const std::string& address, std::string_view why)
{
    if (m_roster.has_replied(address))
    {
        m_context.count("record_keepers_lost", "why", why);
        runtime::event("record_keeper_lost")
            .with("keeper", address)
            .with("why", why)
            .info();
    }
    if (m_context.streams != nullptr)
        m_context.streams->note_lost(address);
}

void keeper_client::maintain()
{
    update_addresses();
    const auto overdue = m_roster.take_overdue(m_context.now());
    for (const std::uint64_t number : overdue.to_resend)
        if (const auto found = m_sent.find(number); found != m_sent.end())
            transmit(found->second.to, found->second.frame);
    for (const std::uint64_t number : overdue.given_up)
        m_sent.erase(number);
    for (const std::string& address : overdue.silent)
        note_lost(address, "silent");
    probe();
}

// A restart of a keeper that is sent nothing would go unnoticed, and its copies
// would be missing.
void keeper_client::probe()
{
    const instant now = m_context.now();
    if (m_probed_at && now < *m_probed_at + probe_interval)
        return;
    m_probed_at = now;
    const auto address = m_roster.next_probe(now);
    if (!address)
        return;
    peer::Frame frame;
    frame.mutable_stream_origins();
    send(*address, frame);
}

// Records show as well which process runs there, sooner than a probe would.
void keeper_client::handle(const std::string& address, const peer::Frame& frame)
{
    if (frame.has_stream_origins() &&
        m_roster.note_reply(address, 0, frame.stream_origins().born(),
                            m_context.now()))
        note_lost(address, "restarted");
    if (frame.has_kept())
    {
        const auto sent = m_sent.find(frame.kept().number());
        if (sent != m_sent.end() && sent->second.to == address)
            m_sent.erase(sent);
        if (m_roster.note_reply(address, frame.kept().number(),
                                frame.kept().born(), m_context.now()))
            note_lost(address, "restarted");
    }
    if (m_handler)
        m_handler(address, frame);
    if (m_context.streams == nullptr)
        return;
    if (frame.has_stream_origins())
        m_context.streams->handle_records(address, frame.stream_origins());
    if (frame.has_stream_answer())
        m_context.streams->handle_answer(address, frame.stream_answer());
    if (frame.has_version_observation())
        m_context.streams->handle_observation(address,
                                              frame.version_observation());
}

awaitable<void> keeper_client::run()
{
    std::string received(max_datagram_bytes, '\0');
    while (m_socket.is_open())
    {
        udp::endpoint sender;
        error_code fault;
        const std::size_t size = co_await m_socket.async_receive_from(
            asio::buffer(received), sender, store_error_in(fault));
        if (fault)
            co_await pause_after_error(m_context.loop);
        const std::string address =
            runtime::address{sender.address().to_string(), sender.port()}
                .text();
        peer::Frame frame;
        if (!fault && is_listed(address) &&
            frame.ParseFromArray(received.data(), static_cast<int>(size)))
            handle(address, frame);
    }
}

} // namespace mangofold::serving

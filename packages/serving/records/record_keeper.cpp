#include "serving/records/record_keeper.hpp"

#include "runtime/event.hpp"
#include "serving/peer_messages.hpp"
#include "serving/records/datagram.hpp"
#include "serving/stream_messages.hpp"
#include "serving/target_losses.hpp"

#include <spdlog/fmt/fmt.h>

namespace mangofold::serving
{

using asio::ip::udp;

namespace
{

/// How often a keeper that stops looks for what to send and whether it is done.
constexpr duration handover_step = std::chrono::milliseconds(10);

} // namespace

peer::Frame record_keeper::kept(std::uint64_t number) const
{
    peer::Frame frame;
    frame.mutable_kept()->set_number(number);
    frame.mutable_kept()->set_born(m_born);
    frame.mutable_kept()->set_ends_summary(m_crashes.summary());
    return frame;
}

peer::Frame record_keeper::answer(const peer::StreamQuestion& question) const
{
    peer::Frame frame;
    answer_from_records(question, m_records, m_time.now(),
                        *frame.mutable_stream_answer());
    return frame;
}

// A keeper that knows nothing yet says so, as the sender waits for a reply.
peer::Frame record_keeper::observation(std::uint64_t number) const
{
    const instant now = m_time.now();
    peer::Frame frame;
    peer::VersionObservation& message = *frame.mutable_version_observation();
    message.set_number(number);
    write_version_observation(m_versions.observation().value_or(
                                  decision::version_observation{now, now, {}}),
                              now, message);
    return frame;
}

peer::Frame record_keeper::crashes(const peer::EndsQuestion& question) const
{
    const instant now = m_time.now();
    std::uint64_t last_change = question.after();
    peer::Frame frame;
    for (const decision::target_crash& crash :
         m_crashes.changes_after(last_change, max_crashes_per_message, now))
        write_target_crash(crash, now, *frame.mutable_ends()->add_ends());
    frame.mutable_ends()->set_next(last_change);
    return frame;
}

// An entry that knows no successors knows less than the one before it.
peer::Frame record_keeper::records(const peer::RecordsQuestion& question)
{
    if (question.successors_size() > 0)
        m_successors.assign(question.successors().begin(),
                            question.successors().end());
    if (m_successors.size() > decision::record_handover::max_successors)
        m_successors.resize(decision::record_handover::max_successors);
    const instant now = m_time.now();
    std::uint64_t last_change = question.after();
    peer::Frame frame;
    peer::StreamOrigins& message = *frame.mutable_stream_origins();
    for (const auto& [key, known] :
         m_records.changes_after(last_change, origins_per_datagram))
        write_stream_origin(key, known, now, *message.add_origins());
    message.set_next(last_change);
    message.set_born(m_born);
    return frame;
}

void record_keeper::stop()
{
    const instant now = m_time.now();
    m_records.expire(now);
    std::uint64_t last_change = 0;
    for (;;)
    {
        const auto part =
            m_records.changes_after(last_change, origins_per_datagram);
        if (part.empty())
            break;
        peer::StreamOrigins& message =
            *m_handover_parts.emplace_back().mutable_stream_origins();
        for (const auto& [key, known] : part)
            write_stream_origin(key, known, now, *message.add_origins());
    }
    m_handover.emplace(m_successors, m_handover_parts.size(), now);
}

std::vector<record_keeper::addressed_frame>
record_keeper::take_handover_frames()
{
    std::vector<addressed_frame> frames;
    for (const auto& due : m_handover->take_due(m_time.now()))
    {
        frames.push_back({due.to, m_handover_parts[due.part]});
        frames.back().frame.mutable_stream_origins()->set_number(due.number);
    }
    return frames;
}

void record_keeper::handle_kept(const std::string& address,
                                const peer::Kept& reply)
{
    if (m_handover)
        m_handover->note_reply(address, reply.number());
}

void record_keeper::log_handover() const
{
    const auto receivers =
        m_handover ? m_handover->confirmed() : std::vector<std::string>();
    const auto silent =
        m_handover ? m_handover->silent() : std::vector<std::string>();
    runtime::event("records_handed_on")
        .with("records", size())
        .with("successors", m_successors.size())
        .with("confirmed", receivers.size())
        .with("receivers", fmt::format("{}", fmt::join(receivers, " ")))
        .with("silent", fmt::format("{}", fmt::join(silent, " ")))
        .info();
}

std::optional<peer::Frame> record_keeper::handle(const peer::Frame& frame)
{
    const instant now = m_time.now();
    switch (frame.content_case())
    {
    case peer::Frame::kStreamOrigins:
        // Not kept for long enough: the sender must choose another keeper.
        if (m_handover)
            return std::nullopt;
        note_stream_origins(frame.stream_origins(), now, m_records, m_versions);
        return kept(frame.stream_origins().number());
    case peer::Frame::kStreamQuestion:
        return answer(frame.stream_question());
    case peer::Frame::kVersionObservation:
        if (const auto seen =
                read_version_observation(frame.version_observation(), now))
            m_versions.merge(*seen);
        return kept(frame.version_observation().number());
    case peer::Frame::kEnds:
        for (const peer::TargetEnd& received : frame.ends().ends())
            m_crashes.note(read_target_crash(received, now), now);
        return kept(frame.ends().number());
    case peer::Frame::kEndsQuestion:
        return crashes(frame.ends_question());
    case peer::Frame::kRecordsQuestion:
        return records(frame.records_question());
    case peer::Frame::kVersionQuestion:
        return observation(frame.version_question().number());
    default:
        return std::nullopt;
    }
}

void record_keeper::expire()
{
    m_records.expire(m_time.now());
    m_versions.expire(m_time.now());
    m_crashes.expire(m_time.now());
}

record_keeper_server::record_keeper_server(asio::io_context& loop,
                                           record_keeper& keeper,
                                           const runtime::address& address)
    : m_loop(loop),
      m_socket(loop, udp::endpoint(asio::ip::make_address(address.host),
                                   address.port)),
      m_keeper(keeper)
{
    // A reply that would have to wait is as one that is lost.
    m_socket.non_blocking(true);
}

awaitable<void> record_keeper_server::run()
{
    std::string received(max_datagram_bytes, '\0');
    for (;;)
    {
        udp::endpoint sender;
        error_code fault;
        const std::size_t size = co_await m_socket.async_receive_from(
            asio::buffer(received), sender, store_error_in(fault));
        if (fault)
            co_await pause_after_error(m_loop);
        peer::Frame frame;
        if (fault ||
            !frame.ParseFromArray(received.data(), static_cast<int>(size)))
            continue;
        m_keeper.expire();
        if (frame.has_kept())
        {
            m_keeper.handle_kept(
                runtime::address{sender.address().to_string(), sender.port()}
                    .text(),
                frame.kept());
            send_handover();
            continue;
        }
        const auto reply = m_keeper.handle(frame);
        if (!reply)
            continue;
        m_socket.send_to(asio::buffer(reply->SerializeAsString()), sender, 0,
                         fault);
    }
}

// An unreadable address is as one from which no reply comes.
void record_keeper_server::send_handover()
{
    if (!m_keeper.is_stopping())
        return;
    for (const auto& [to, frame] : m_keeper.take_handover_frames())
        try
        {
            const runtime::address receiver = runtime::address::parse(to);
            error_code fault; // What is not sent is sent again.
            m_socket.send_to(
                asio::buffer(frame.SerializeAsString()),
                udp::endpoint(asio::ip::make_address(receiver.host),
                              receiver.port),
                0, fault);
        }
        catch (const runtime::address_error&)
        {
        }
}

awaitable<void> record_keeper_server::hand_on()
{
    m_keeper.stop();
    loop_timer timer(m_loop);
    while (!m_keeper.is_handed_on())
    {
        send_handover();
        error_code ignored; // The timer is never cancelled.
        timer.expires_after(handover_step);
        co_await timer.async_wait(store_error_in(ignored));
    }
    m_keeper.log_handover();
}

} // namespace mangofold::serving

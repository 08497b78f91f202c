#pragma once

#include "decision/crash_log.hpp"
#include "decision/streams/origin_records.hpp"
#include "decision/streams/record_handover.hpp"
#include "decision/streams/version_history.hpp"
#include "peer.pb.h"
#include "runtime/address.hpp"
#include "runtime/clock.hpp"
#include "serving/asio.hpp"

#include <boost/asio/ip/udp.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// Keeps records of streams, which versions targets had, and the crashes of
/// targets, for entries that may all be lost. It runs beside a target, decides
/// nothing, and forgets each record when its stream can no longer go on.
class record_keeper
{
public:
    /// \a born identifies this process among those that run at this address one
    /// after the other.
    record_keeper(const runtime::clock& time, std::uint64_t born)
        : m_time(time), m_born(born)
    {
    }

    /// Returns the reply to \a frame, or nothing.
    std::optional<peer::Frame> handle(const peer::Frame& frame);

    /// Begins to hand on the records, and keeps no others.
    void stop();

    bool is_stopping() const { return m_handover.has_value(); }

    struct addressed_frame
    {
        std::string to;
        peer::Frame frame;
    };

    /// Returns what to send to other record keepers now.
    std::vector<addressed_frame> take_handover_frames();

    /// Handles the reply of another record keeper to such a frame.
    void handle_kept(const std::string& address, const peer::Kept& reply);

    /// Whether the records are handed on, as far as they can be.
    bool is_handed_on() const
    {
        return m_handover && m_handover->is_done(m_time.now());
    }

    /// Logs what was handed on.
    void log_handover() const;

    /// Forgets what has expired.
    void expire();

    std::size_t size() const { return m_records.size(); }

private:
    peer::Frame kept(std::uint64_t number) const;
    peer::Frame answer(const peer::StreamQuestion& question) const;
    peer::Frame observation(std::uint64_t number) const;
    peer::Frame crashes(const peer::EndsQuestion& question) const;

    peer::Frame records(const peer::RecordsQuestion& question);

    const runtime::clock& m_time;
    std::uint64_t m_born;
    decision::origin_records m_records;
    decision::version_history m_versions;
    decision::crash_log m_crashes;
    std::vector<std::string> m_successors;
    std::vector<peer::Frame> m_handover_parts;
    std::optional<decision::record_handover> m_handover; ///< Once it stops.
};

/// Serves a record_keeper on a UDP socket.
class record_keeper_server
{
public:
    /// Throws boost::system::system_error if \a address is in use.
    record_keeper_server(asio::io_context& loop, record_keeper& keeper,
                         const runtime::address& address);

    /// Answers messages. Never returns.
    awaitable<void> run();

    /// Hands on the records, for half a second at most.
    awaitable<void> hand_on();

private:
    void send_handover();

    asio::io_context& m_loop;
    asio::ip::udp::socket m_socket;
    record_keeper& m_keeper;
};

} // namespace mangofold::serving

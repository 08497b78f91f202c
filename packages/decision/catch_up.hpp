#pragma once

#include "decision/time.hpp"

#include <optional>
#include <string>

namespace mangofold::decision
{

/// Decides when an entry whose state is behind requests a copy of it from a
/// peer entry, and from which peer.
///
/// At most one copy is requested at a time, and none while the source is
/// expected to deliver the state. Copies are large and links may be narrow:
/// each further copy requested during a transfer slows all transfers down, and
/// the slower they are the more copies would be requested.
class catch_up
{
public:
    /// The state of this entry's connection to the source.
    struct source_state
    {
        bool is_available = false;
        bool is_receiving = false; ///< Bytes of a response are arriving.
    };

    /// Sets the time within which published state must be in force.
    void set_adoption_time(duration value) { m_adoption_time = value; }

    /// Notes that this entry is up to date.
    void note_up_to_date();

    /// Returns whether to request a copy from \a peer, which has newer state,
    /// now; the request then counts as sent.
    bool should_request(const std::string& peer, source_state source,
                        instant now);

    /// Notes that \a peer delivered a part of the copy.
    void note_progress(const std::string& peer, instant now);

    /// Notes that \a peer delivered the whole copy.
    void note_complete(const std::string& peer, instant now);

    /// Notes that \a peer is unreachable or does not provide a copy now.
    void note_unavailable(const std::string& peer);

    /// Returns the peer whose copy is pending, or an empty string.
    const std::string& pending_peer() const { return m_pending_peer; }

private:
    duration source_grace(source_state source) const;
    duration backed_off(duration value) const;
    bool is_stalled(instant now) const;

    /// How long a transfer may make no progress at first before another peer
    /// is asked: many times the gap between parts on a link that carries a few
    /// of them per second.
    static constexpr duration initial_stall_timeout =
        std::chrono::milliseconds(500);
    /// The initial pause after a complete copy that left this entry behind.
    static constexpr duration initial_pause = std::chrono::milliseconds(500);
    duration m_adoption_time{};
    std::string m_pending_peer;
    instant m_last_progress{};
    instant m_next_request{};
    duration m_stall_timeout = initial_stall_timeout;
    duration m_pause = initial_pause;
    std::optional<instant> m_behind_since;
};

} // namespace mangofold::decision

#pragma once

#include "decision/time.hpp"

#include <cstdint>
#include <string_view>

namespace mangofold::decision
{

/// What ends the attempts to continue a stream of which the caller has events.
enum class stream_bound : std::uint8_t
{
    none,        ///< Another round may bring the next event.
    caller_time, ///< The caller's time for the whole stream ends before that.
    patience,    ///< The caller gives up a stream that is silent for so long.
    process_end, ///< This process ends before that.
    sends        ///< The route allows no further send.
};

/// Returns the name of \a value that logs and metrics show.
std::string_view to_string(stream_bound value);

/// What holds for the next round of a stream in progress.
struct round_terms
{
    /// The shortest time in which a round brings an event; waits excluded.
    duration least_time{};
    instant latest_start = instant::max(); ///< Of its send, by this process.
    bool may_send = true;
    bool has_other_target = false; ///< To which the failed round did not send.

    friend bool operator==(const round_terms&, const round_terms&) = default;
};

/// Whether and when there is another round, and what prevents it.
struct next_round
{
    stream_bound bound = stream_bound::none;
    duration pause{}; ///< Before the round starts.

    friend bool operator==(const next_round&, const next_round&) = default;
};

/// Decides how long an entry tries to continue a stream in progress: a round
/// makes the stages and sends the request to a target. A round that failed is
/// followed by another one as long as that can bring an event in time.
class stream_progress
{
public:
    /// \a patience is how long the caller waits for an event; zero is without
    /// limit.
    stream_progress(instant began_at, instant deadline, duration patience)
        : m_silent_since(began_at), m_deadline(deadline), m_patience(patience)
    {
    }

    /// Notes that the caller was sent an event.
    void note_event(instant now);

    /// Returns when the next event must reach the caller at the latest.
    instant next_event_by() const;

    /// Notes that a round has failed. Returns what follows.
    next_round note_failed_round(const round_terms& terms, instant now);

    std::uint32_t failed_rounds() const { return m_failed_rounds; }

private:
    instant m_silent_since;
    instant m_deadline;
    duration m_patience;
    std::uint32_t m_failed_rounds = 0; ///< Since the last event.
};

} // namespace mangofold::decision

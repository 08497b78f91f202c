#pragma once

#include "peer.pb.h"
#include "serving/entry_context.hpp"

#include <string>

namespace mangofold::serving
{

/// Notes that a target ended while \a request was in progress there, unless
/// that target was leaving, which is no fault of a request.
void note_target_end(entry_context& context, const decision::target_crash& one,
                     const std::string& request);

/// Notes that a target ran \a content to its end.
void note_served(entry_context& context, const decision::digest& content);

/// Notes that bytes came from \a target on a connection made at \a opened.
void note_alive(entry_context& context,
                const decision::target_incarnation& target, instant opened);

/// Takes in what the entry at \a from knows of ends of targets.
void take_ends(entry_context& context, const peer::TargetEnds& message,
               const std::string& from);

/// What one entry tells another, on one connection, of the ends that it knows.
class end_news
{
public:
    explicit end_news(entry_context& context) : m_context(context) {}

    /// Notes that a new connection was made, on which nothing was told yet.
    void begin_anew() { m_theirs = m_told = 0; }

    /// Notes what the other entry knows, by crash_log::summary().
    void note_theirs(std::uint64_t summary) { m_theirs = summary; }

    /// Writes what the other entry may lack and was not told on this
    /// connection. Returns whether there was anything.
    bool write(peer::TargetEnds& message);

private:
    entry_context& m_context;
    std::uint64_t m_theirs = 0;
    std::uint64_t m_told = 0;
};

} // namespace mangofold::serving

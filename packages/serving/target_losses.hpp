#pragma once

#include "peer.pb.h"
#include "serving/entry_context.hpp"

#include <string>

namespace mangofold::serving
{

/// Records that \a target_end happened while \a request was in progress at the
/// target, unless the target was leaving, which no request causes.
void note_target_end(entry_context& context,
                     const decision::target_end& target_end,
                     const std::string& request);

/// Records that a target ran \a content to completion.
void note_served(entry_context& context, const decision::digest& content);

/// Records that \a target sent bytes on a connection opened at \a opened.
void note_alive(entry_context& context, const decision::target_start& target,
                instant opened);

/// Applies the target ends that the entry at \a from has sent.
void take_ends(entry_context& context, const peer::TargetEnds& message,
               const std::string& from);

/// Sends the target ends that this entry knows to one other entry, over one
/// connection, without repeating any.
class end_news
{
public:
    explicit end_news(entry_context& context) : m_context(context) {}

    /// Starts over for a new connection, on which nothing was sent yet.
    void begin_anew() { m_theirs = m_sent = 0; }

    /// Sets the other entry's target_ends::summary(), which shows whether it
    /// knows the same ends.
    void note_theirs(std::uint64_t summary) { m_theirs = summary; }

    /// Writes the ends that the other entry may lack and that were not sent on
    /// this connection. Returns whether there were any.
    bool write(peer::TargetEnds& message);

private:
    entry_context& m_context;
    std::uint64_t m_theirs = 0;
    std::uint64_t m_sent = 0;
};

} // namespace mangofold::serving

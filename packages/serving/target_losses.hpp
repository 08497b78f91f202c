#pragma once

#include "peer.pb.h"
#include "serving/entry_context.hpp"

#include <string>

namespace mangofold::serving
{

/// Records a target end: that a target was lost while \a request was in
/// progress there. Content with several ends is quarantined. The end of a
/// leaving target is ignored, since no request causes it.
void record_target_end(entry_context& context,
                       const decision::target_crash& target_end,
                       const std::string& request);

/// Records that a target ran \a content to completion, which refutes ends
/// that were attributed to the content.
void record_content_served(entry_context& context,
                           const decision::digest& content);

/// Records that \a target sent bytes on a connection opened at \a opened,
/// which refutes ends recorded for it since that time.
void record_target_alive(entry_context& context,
                         const decision::target_incarnation& target,
                         instant opened);

/// Applies the target ends that the entry at \a from has sent.
void handle_target_ends(entry_context& context, const peer::TargetEnds& message,
                        const std::string& from);

/// Sends the target ends that this entry knows to one other entry, over one
/// connection, without repeating any.
class target_end_sync
{
public:
    explicit target_end_sync(entry_context& context) : m_context(context) {}

    /// Starts over for a new connection, on which nothing was sent yet.
    void reset() { m_peer_summary = m_sent = 0; }

    /// Sets the other entry's crash_log::summary(), which shows whether it
    /// knows the same crashes.
    void set_peer_summary(std::uint64_t summary) { m_peer_summary = summary; }

    /// Writes the ends that the other entry may lack and that were not sent on
    /// this connection. Returns whether there were any.
    bool write(peer::TargetEnds& message);

private:
    entry_context& m_context;
    std::uint64_t m_peer_summary = 0;
    std::uint64_t m_sent = 0;
};

} // namespace mangofold::serving

#pragma once

#include "peer.pb.h"
#include "serving/entry_context.hpp"

#include <string>
#include <vector>

namespace mangofold::serving
{

/// Target crashes sent in one message. At 60 bytes each they take 6 KB, which
/// delays responses to callers on a link of 10 Mbit/s by 5 ms.
constexpr std::size_t max_crashes_per_message = 100;

/// Records that a target crashed while \a request was in progress on it.
/// Content with several crashes is quarantined. A crash of a leaving target is
/// ignored, since such a target ends without a request that causes it.
void record_target_crash(entry_context& context,
                         const decision::target_crash& crash,
                         const std::string& request);

/// Records that a target crashed while \a request, with the part of a prompt
/// that \a crash names, was in progress on it.
void record_part_crash(entry_context& context,
                       const decision::target_crash& crash,
                       const std::string& request);

/// A run of a request on a target.
struct target_run
{
    std::string request;
    decision::request_suspects suspects;
    decision::target_incarnation target;
    std::string version; ///< Of the target's software.
    instant sent_at{};
};

/// Records the crash of a target during \a run for the content of the request
/// and, unless the target \a has_survived the request, for its parts.
void record_run_crash(entry_context& context, const target_run& run,
                      bool has_survived = false);

/// Records that a target survived a request with \a parts, which it began to
/// answer at \a answered_at. Refutes their crashes before.
void record_parts_survived(entry_context& context,
                           const std::vector<decision::digest>& parts,
                           instant answered_at);

/// Records that a target ran \a content to completion, which refutes
/// crashes that were attributed to the content.
void record_content_served(entry_context& context,
                           const decision::digest& content);

/// Records that \a target sent bytes on a connection opened at \a opened,
/// which refutes crashes recorded for the target since that time.
void record_target_alive(entry_context& context,
                         const decision::target_incarnation& target,
                         instant opened);

/// Applies the target crashes that the entry at \a from has sent.
void handle_target_crashes(entry_context& context,
                           const peer::TargetEnds& message,
                           const std::string& from);

/// Sends the target crashes that this entry knows to one other entry, over one
/// connection, without repeating any.
class crash_log_sync
{
public:
    explicit crash_log_sync(entry_context& context) : m_context(context) {}

    /// Starts over for a new connection, on which nothing was sent yet.
    void reset() { m_peer_summary = m_sent = 0; }

    /// Sets the other entry's crash_log::summary(), which shows whether it
    /// knows the same crashes.
    void set_peer_summary(std::uint64_t summary) { m_peer_summary = summary; }

    /// Writes the crashes that the other entry may lack and that were not sent
    /// on this connection. Returns whether there were any.
    bool write(peer::TargetEnds& message);

private:
    entry_context& m_context;
    std::uint64_t m_peer_summary = 0;
    std::uint64_t m_sent = 0;
};

} // namespace mangofold::serving

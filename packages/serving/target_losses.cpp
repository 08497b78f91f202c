#include "serving/target_losses.hpp"

#include "runtime/event.hpp"
#include "serving/peer_messages.hpp"

namespace mangofold::serving
{

namespace
{

/// Target ends sent in one message. At 60 bytes each they take 6 KB, which
/// delays responses to callers on a link of 10 Mbit/s by 5 ms.
constexpr std::size_t max_ends_per_message = 100;

constexpr std::size_t min_logged_ends = 2;

void log_quarantined(const decision::digest& content,
                     const decision::crash_log::evidence& found)
{
    std::string targets;
    for (const decision::target_incarnation& target : found.targets)
        targets += (targets.empty() ? "" : ",") + target.id;
    runtime::event("content_quarantined")
        .with("content", to_text(content))
        .with("ends", found.incident_count())
        .with("shared", found.shared_incident_count())
        .with("targets", targets)
        .warn();
}

/// Logs \a target_end if this entry saw it itself, or if several ends are known
/// for the same content.
void log_target_end(entry_context& context,
                    const decision::target_crash& target_end,
                    std::size_t ends_before, const std::string& request,
                    const std::string& from)
{
    if (target_end.is_claim)
        return;
    const auto found =
        context.quarantine.crashes().evidence_against(target_end.content);
    if (!request.empty() || found.incident_count() >= min_logged_ends)
        runtime::event("target_ended")
            .with("target", target_end.target.id)
            .with("born", target_end.target.started_ms)
            .with("content", to_text(target_end.content))
            .with("request", request)
            .with("from", from)
            .with("refuted", target_end.is_refuted ? 1 : 0)
            .with("ends", found.incident_count())
            .warn();
    if (ends_before >= decision::quarantine::max_incidents ||
        found.incident_count() < decision::quarantine::max_incidents)
        return;
    log_quarantined(target_end.content, found);
    ++context.metrics.count({"contents_quarantined", ""});
}

void count_refuted(entry_context& context, std::size_t count,
                   std::string_view why)
{
    if (count > 0)
        context.metrics.count(
            {"target_ends_refuted", runtime::label("why", why)}) += count;
}

} // namespace

void record_target_end(entry_context& context,
                       const decision::target_crash& target_end,
                       const std::string& request)
{
    if (context.directory.is_leaving(target_end.target))
        return;
    decision::quarantine& quarantine = context.quarantine;
    const std::size_t ends_before = quarantine.crashes()
                                        .evidence_against(target_end.content)
                                        .incident_count();
    if (!quarantine.note_crash(target_end, context.now()))
        return;
    ++context.metrics.count({"target_ends", ""});
    log_target_end(context, target_end, ends_before, request, "own");
}

void record_content_served(entry_context& context,
                           const decision::digest& content)
{
    decision::quarantine& quarantine = context.quarantine;
    const std::size_t ends_before =
        quarantine.crashes().evidence_against(content).incident_count();
    count_refuted(context, quarantine.note_served(content, context.now()),
                  "served");
    if (ends_before >= min_logged_ends)
        runtime::event("content_served")
            .with("content", to_text(content))
            .with("ends_before", ends_before)
            .info();
}

void record_target_alive(entry_context& context,
                         const decision::target_incarnation& target,
                         instant opened)
{
    decision::crash_log& ends = context.quarantine.crashes();
    if (!ends.is_empty())
        count_refuted(context, ends.note_alive(target, opened, context.now()),
                      "alive");
}

void handle_target_ends(entry_context& context, const peer::TargetEnds& message,
                        const std::string& from)
{
    decision::crash_log& ends = context.quarantine.crashes();
    for (const peer::TargetEnd& message_end : message.ends())
    {
        const decision::target_crash target_end =
            read_target_end(message_end, context.now());
        const std::size_t ends_before =
            ends.evidence_against(target_end.content).incident_count();
        if (ends.note(target_end, context.now()))
            log_target_end(context, target_end, ends_before, {}, from);
    }
}

bool target_end_sync::write(peer::TargetEnds& message)
{
    const decision::crash_log& ends = m_context.quarantine.crashes();
    if (m_peer_summary == ends.summary())
        return false;
    const instant now = m_context.now();
    for (const decision::target_crash& target_end :
         ends.changes_after(m_sent, max_ends_per_message, now))
        write_target_end(target_end, now, *message.add_ends());
    return message.ends_size() > 0;
}

} // namespace mangofold::serving

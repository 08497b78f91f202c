#include "serving/target_losses.hpp"

#include "runtime/event.hpp"
#include "serving/peer_messages.hpp"

namespace mangofold::serving
{

namespace
{

/// Target crashes sent in one message. At 60 bytes each they take 6 KB, which
/// delays responses to callers on a link of 10 Mbit/s by 5 ms.
constexpr std::size_t max_crashes_per_message = 100;

constexpr std::size_t min_logged_incidents = 2;

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

/// Logs \a crash if this entry saw it itself, or if several incidents of the
/// same content are known.
void log_target_crash(entry_context& context,
                      const decision::target_crash& crash,
                      std::size_t incidents_before, const std::string& request,
                      const std::string& from)
{
    if (crash.is_claim)
        return;
    const auto found =
        context.quarantine.crashes().evidence_against(crash.content);
    if (!request.empty() || found.incident_count() >= min_logged_incidents)
        runtime::event("target_ended")
            .with("target", crash.target.id)
            .with("born", crash.target.started_ms)
            .with("content", to_text(crash.content))
            .with("request", request)
            .with("from", from)
            .with("refuted", crash.is_refuted ? 1 : 0)
            .with("ends", found.incident_count())
            .warn();
    if (incidents_before >= decision::quarantine::max_incidents ||
        found.incident_count() < decision::quarantine::max_incidents)
        return;
    log_quarantined(crash.content, found);
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

void record_target_crash(entry_context& context,
                         const decision::target_crash& crash,
                         const std::string& request)
{
    if (context.directory.is_leaving(crash.target))
        return;
    decision::quarantine& quarantine = context.quarantine;
    const std::size_t incidents_before =
        quarantine.crashes().evidence_against(crash.content).incident_count();
    if (!quarantine.note_crash(crash, context.now()))
        return;
    ++context.metrics.count({"target_ends", ""});
    log_target_crash(context, crash, incidents_before, request, "own");
}

void record_content_served(entry_context& context,
                           const decision::digest& content)
{
    decision::quarantine& quarantine = context.quarantine;
    const std::size_t incidents_before =
        quarantine.crashes().evidence_against(content).incident_count();
    count_refuted(context, quarantine.note_served(content, context.now()),
                  "served");
    if (incidents_before >= min_logged_incidents)
        runtime::event("content_served")
            .with("content", to_text(content))
            .with("ends_before", incidents_before)
            .info();
}

void record_target_alive(entry_context& context,
                         const decision::target_incarnation& target,
                         instant opened)
{
    decision::crash_log& crashes = context.quarantine.crashes();
    if (!crashes.is_empty())
        count_refuted(context,
                      crashes.note_alive(target, opened, context.now()),
                      "alive");
}

void handle_target_crashes(entry_context& context,
                           const peer::TargetEnds& message,
                           const std::string& from)
{
    decision::crash_log& crashes = context.quarantine.crashes();
    for (const peer::TargetEnd& message_crash : message.ends())
    {
        const decision::target_crash crash =
            read_target_crash(message_crash, context.now());
        const std::size_t incidents_before =
            crashes.evidence_against(crash.content).incident_count();
        if (crashes.note(crash, context.now()))
            log_target_crash(context, crash, incidents_before, {}, from);
    }
}

bool crash_log_sync::write(peer::TargetEnds& message)
{
    const decision::crash_log& crashes = m_context.quarantine.crashes();
    if (m_peer_summary == crashes.summary())
        return false;
    const instant now = m_context.now();
    for (const decision::target_crash& crash :
         crashes.changes_after(m_sent, max_crashes_per_message, now))
        write_target_crash(crash, now, *message.add_ends());
    return message.ends_size() > 0;
}

} // namespace mangofold::serving

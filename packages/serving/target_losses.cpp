#include "serving/target_losses.hpp"

#include "runtime/event.hpp"
#include "serving/peer_messages.hpp"

namespace mangofold::serving
{

namespace
{

/// Ends told at a time, 60 bytes each: 6 KB, behind which answers of callers
/// wait on a link of 10 Mbit/s for 5 ms.
constexpr std::size_t told_at_once = 100;

constexpr std::size_t worth_a_line = 2;

void log_quarantined(const decision::digest& content,
                     const decision::crash_log::evidence& found)
{
    std::string targets;
    for (const decision::target_incarnation& one : found.targets)
        targets += (targets.empty() ? "" : ",") + one.id;
    runtime::event("content_quarantined")
        .with("content", to_text(content))
        .with("ends", found.incident_count())
        .with("shared", found.shared_incident_count())
        .with("targets", targets)
        .warn();
}

/// Says in the log that \a one is known now, where it was seen here or speaks
/// against a request of which more is known.
void log_end(entry_context& context, const decision::target_crash& one,
             std::size_t ends_before, const std::string& request,
             const std::string& from)
{
    if (one.is_claim)
        return;
    const auto found =
        context.quarantine.crashes().evidence_against(one.content);
    if (!request.empty() || found.incident_count() >= worth_a_line)
        runtime::event("target_ended")
            .with("target", one.target.id)
            .with("born", one.target.started_ms)
            .with("content", to_text(one.content))
            .with("request", request)
            .with("from", from)
            .with("refuted", one.is_refuted ? 1 : 0)
            .with("ends", found.incident_count())
            .warn();
    if (ends_before >= decision::quarantine::max_incidents ||
        found.incident_count() < decision::quarantine::max_incidents)
        return;
    log_quarantined(one.content, found);
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

void note_target_end(entry_context& context, const decision::target_crash& one,
                     const std::string& request)
{
    if (context.directory.is_leaving(one.target))
        return;
    decision::quarantine& known = context.quarantine;
    const std::size_t before =
        known.crashes().evidence_against(one.content).incident_count();
    if (!known.note_crash(one, context.now()))
        return;
    ++context.metrics.count({"target_ends", ""});
    log_end(context, one, before, request, "own");
}

void note_served(entry_context& context, const decision::digest& content)
{
    decision::quarantine& known = context.quarantine;
    const std::size_t before =
        known.crashes().evidence_against(content).incident_count();
    count_refuted(context, known.note_served(content, context.now()), "served");
    if (before >= worth_a_line)
        runtime::event("content_served")
            .with("content", to_text(content))
            .with("ends_before", before)
            .info();
}

void note_alive(entry_context& context,
                const decision::target_incarnation& target, instant opened)
{
    decision::crash_log& ends = context.quarantine.crashes();
    if (!ends.is_empty())
        count_refuted(context, ends.note_alive(target, opened, context.now()),
                      "alive");
}

void take_ends(entry_context& context, const peer::TargetEnds& message,
               const std::string& from)
{
    decision::crash_log& ends = context.quarantine.crashes();
    for (const peer::TargetEnd& message_end : message.ends())
    {
        const decision::target_crash one = end_of(message_end, context.now());
        const std::size_t before =
            ends.evidence_against(one.content).incident_count();
        if (ends.note(one, context.now()))
            log_end(context, one, before, {}, from);
    }
}

bool end_news::write(peer::TargetEnds& message)
{
    const decision::crash_log& ends = m_context.quarantine.crashes();
    if (m_theirs == ends.summary())
        return false;
    const instant now = m_context.now();
    for (const decision::target_crash& one :
         ends.changes_after(m_told, told_at_once, now))
        write_end(one, now, *message.add_ends());
    return message.ends_size() > 0;
}

} // namespace mangofold::serving

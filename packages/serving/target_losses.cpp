#include "serving/target_losses.hpp"

#include "runtime/event.hpp"
#include "serving/peer_messages.hpp"

namespace mangofold::serving
{

namespace
{

constexpr std::size_t min_logged_incidents = 2;

std::string joined_ids(const std::vector<decision::target_incarnation>& targets)
{
    std::string ids;
    for (const decision::target_incarnation& target : targets)
        ids += (ids.empty() ? "" : ",") + target.id;
    return ids;
}

void log_quarantined(const decision::digest& content,
                     const decision::crash_log::evidence& found)
{
    runtime::event("content_quarantined")
        .with("content", to_text(content))
        .with("ends", found.incident_count())
        .with("shared", found.shared_incident_count())
        .with("targets", joined_ids(found.targets))
        .warn();
}

/// Logs what the crashes that were just recorded for \a part, by this entry or
/// the one at \a from, have changed for requests with it.
void log_part_state(entry_context& context, const decision::digest& part,
                    decision::quarantine::part_state before,
                    const std::string& request, const std::string& from)
{
    using state = decision::quarantine::part_state;
    const state after = context.quarantine.state_of(part, context.now());
    if (after <= before)
        return;
    const auto found = context.quarantine.crashes().evidence_against(part);
    runtime::event(after == state::refused ? "part_quarantined"
                                           : "part_suspected")
        .with("content", to_text(part))
        .with("request", request)
        .with("from", from)
        .with("ends", found.incident_count())
        .with("shared", found.shared_incident_count())
        .with("accounts", found.accounts.min_size())
        .with("targets", joined_ids(found.targets))
        .warn();
    ++context.metrics.count(
        {after == state::refused ? "parts_quarantined" : "parts_suspected",
         ""});
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

void record_part_crash(entry_context& context,
                       const decision::target_crash& crash,
                       const std::string& request)
{
    if (context.directory.is_leaving(crash.target))
        return;
    decision::quarantine& quarantine = context.quarantine;
    const auto before = quarantine.state_of(crash.content, context.now());
    if (quarantine.note_crash(crash, context.now()))
        log_part_state(context, crash.content, before, request, "own");
}

void record_run_crash(entry_context& context, const target_run& run,
                      bool has_survived)
{
    const instant now = context.now();
    decision::target_crash crash{run.suspects.content, run.target, run.sent_at,
                                 now};
    record_target_crash(context, crash, run.request);
    if (has_survived)
        return;
    crash.is_part = true;
    crash.accounts = run.suspects.account;
    crash.versions = decision::name_set::of(run.version);
    for (const decision::digest& part : run.suspects.parts)
    {
        crash.content = part;
        record_part_crash(context, crash, run.request);
    }
}

void record_parts_survived(entry_context& context,
                           const std::vector<decision::digest>& parts,
                           instant answered_at)
{
    decision::quarantine& quarantine = context.quarantine;
    for (const decision::digest& part : parts)
    {
        const auto before = quarantine.state_of(part, context.now());
        const std::size_t refuted =
            quarantine.note_part_survived(part, answered_at);
        count_refuted(context, refuted, "survived");
        if (refuted == 0 || before == decision::quarantine::part_state::clear)
            continue;
        runtime::event("part_cleared")
            .with("content", to_text(part))
            .with("refuted", refuted)
            .info();
    }
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
        const instant now = context.now();
        if (crash.is_part)
        {
            const auto before = context.quarantine.state_of(crash.content, now);
            if (crashes.note(crash, now))
                log_part_state(context, crash.content, before, {}, from);
            continue;
        }
        const std::size_t incidents_before =
            crashes.evidence_against(crash.content).incident_count();
        if (crashes.note(crash, now))
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

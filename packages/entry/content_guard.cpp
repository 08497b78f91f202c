#include "entry/content_guard.hpp"

#include "runtime/event.hpp"

namespace mangofold::entry
{

using decision::quarantine;

void content_guard::set_own_ordinal(
    std::function<decision::ordinal()> own_ordinal)
{
    const std::lock_guard lock(m_mutex);
    m_own_ordinal = std::move(own_ordinal);
}

// A request that crashes every target that starts it is resent under other ids,
// and each time crashes as many targets as it has attempts. Only requests whose
// content is suspected are blocked.
std::optional<decision::duration>
content_guard::quarantine_delay(const decision::digest& content,
                                decision::instant deadline, mailbox& replies)
{
    using admission = quarantine::admission;
    constexpr decision::duration poll_interval = std::chrono::milliseconds(10);
    quarantine::verdict verdict = evaluate(content);
    while (verdict.outcome == admission::held && m_clock.now() < deadline)
    {
        replies.take(poll_interval);
        verdict = evaluate(content);
    }
    if (verdict.outcome != admission::refused &&
        verdict.outcome != admission::held)
        return std::nullopt;
    ++m_metrics.count({"mangofold_requests_quarantined_total", ""});
    return verdict.retry_after;
}

quarantine::verdict content_guard::evaluate(const decision::digest& content)
{
    const std::lock_guard lock(m_mutex);
    const decision::instant now = m_clock.now();
    const quarantine::verdict verdict =
        m_quarantine.evaluate(content, now, m_own_ordinal);
    if (verdict.outcome == quarantine::admission::held)
        m_quarantine.note_waiting(content, now);
    if (verdict.outcome == quarantine::admission::trial)
        m_quarantine.note_trial(content, now);
    return verdict;
}

void content_guard::note_crash(const decision::target_crash& crash)
{
    const std::lock_guard lock(m_mutex);
    const decision::instant now = m_clock.now();
    expire(now);
    const auto key = std::pair(crash.content, crash.target);
    if (m_ignored_crashes.contains(key))
        return;
    if (!m_quarantine.note_crash(crash, now))
        return ignore(key);
    const std::size_t incidents =
        m_quarantine.crashes().evidence_against(crash.content).incident_count();
    ++m_metrics.count({"mangofold_target_ends_total", ""});
    runtime::event("target_ended")
        .with("target", crash.target.id)
        .with("content", to_text(crash.content))
        .with("ends", incidents)
        .warn();
    if (incidents != quarantine::max_incidents)
        return;
    ++m_metrics.count({"mangofold_contents_quarantined_total", ""});
    runtime::event("content_quarantined")
        .with("content", to_text(crash.content))
        .with("ends", incidents)
        .warn();
}

// Sidecars report the crashes that they remember again whenever a link opens.
// A crash that was not held against a request, because the request had just
// been served, must stay ignored: evaluated again after that record has
// expired, it would count against the request and get it refused.
void content_guard::ignore(const crash_key& key)
{
    constexpr std::size_t max_ignored = 4096; // About 100 bytes each.
    if (m_ignored_crashes.size() >= max_ignored)
        m_ignored_crashes.clear();
    m_ignored_crashes.insert(key);
}

void content_guard::expire(decision::instant now)
{
    constexpr decision::duration interval = std::chrono::seconds(1);
    if (now < m_last_expired_at + interval)
        return;
    m_last_expired_at = now;
    m_quarantine.expire(now);
}

void content_guard::note_served(const decision::digest& content)
{
    const std::lock_guard lock(m_mutex);
    const decision::instant now = m_clock.now();
    expire(now);
    m_quarantine.note_served(content, now);
}

} // namespace mangofold::entry

#include "entry/content_guard.hpp"

#include "runtime/event.hpp"

namespace mangofold::entry
{

using decision::quarantine;

void content_guard::set_seat(std::function<decision::ordinal()> seat)
{
    const std::lock_guard lock(m_mutex);
    m_seat = std::move(seat);
}

// A request that ends each target that begins it comes again under other ids,
// and costs as many targets each time as it has attempts. What is known of it
// keeps it from them; nothing else is refused.
std::optional<decision::duration>
content_guard::keep_back(const decision::digest& content,
                         decision::instant deadline, mailbox& replies)
{
    using admission = quarantine::admission;
    constexpr decision::duration step = std::chrono::milliseconds(10);
    quarantine::verdict said = judge(content);
    while (said.outcome == admission::held && m_clock.now() < deadline)
    {
        replies.take(step);
        said = judge(content);
    }
    if (said.outcome != admission::refused && said.outcome != admission::held)
        return std::nullopt;
    ++m_metrics.count({"mangofold_requests_quarantined_total", ""});
    return said.retry_after;
}

quarantine::verdict content_guard::judge(const decision::digest& content)
{
    const std::lock_guard lock(m_mutex);
    const decision::instant now = m_clock.now();
    const quarantine::verdict said = m_known.judge(content, now, m_seat);
    if (said.outcome == quarantine::admission::held)
        m_known.note_waiting(content, now);
    if (said.outcome == quarantine::admission::trial)
        m_known.note_trial(content, now);
    return said;
}

void content_guard::note_end(const decision::target_crash& one)
{
    const std::lock_guard lock(m_mutex);
    const decision::instant now = m_clock.now();
    expire(now);
    const auto seen = std::pair(one.content, one.target);
    if (m_dismissed.contains(seen))
        return;
    if (!m_known.note_crash(one, now))
        return dismiss(seen);
    const std::size_t ends =
        m_known.crashes().evidence_against(one.content).incident_count();
    ++m_metrics.count({"mangofold_target_ends_total", ""});
    runtime::event("target_ended")
        .with("target", one.target.id)
        .with("content", to_text(one.content))
        .with("ends", ends)
        .warn();
    if (ends != quarantine::max_incidents)
        return;
    ++m_metrics.count({"mangofold_contents_quarantined_total", ""});
    runtime::event("content_quarantined")
        .with("content", to_text(one.content))
        .with("ends", ends)
        .warn();
}

// Sidecars tell what they remember again whenever a link opens. What was not
// held against a request, since it had just been served, would be judged anew
// when nobody remembers that, and the request refused.
void content_guard::dismiss(const seen_end& one)
{
    constexpr std::size_t most = 4096; // Some 100 bytes each.
    if (m_dismissed.size() >= most)
        m_dismissed.clear();
    m_dismissed.insert(one);
}

void content_guard::expire(decision::instant now)
{
    constexpr decision::duration interval = std::chrono::seconds(1);
    if (now < m_expired_at + interval)
        return;
    m_expired_at = now;
    m_known.expire(now);
}

void content_guard::note_served(const decision::digest& content)
{
    const std::lock_guard lock(m_mutex);
    const decision::instant now = m_clock.now();
    expire(now);
    m_known.note_served(content, now);
}

} // namespace mangofold::entry

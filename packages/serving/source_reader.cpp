#include "serving/source_reader.hpp"

#include "decision/source_polling.hpp"
#include "runtime/event.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

namespace mangofold::serving
{

namespace
{

/// Lowest rate, in bytes per second, at which an answer extends its time limit:
/// a twentieth of a link of 10 Mbit/s. A slower answer is aborted.
constexpr double min_rate = 62500;

/// Longest pause between two pieces of data of an answer: several times what
/// the retransmission of a lost packet takes.
constexpr duration max_gap = std::chrono::seconds(2);

/// Additional time for the answer to a watch beyond its wait.
constexpr duration watch_slack = std::chrono::milliseconds(400);

constexpr unsigned gone = 410;

/// Bytes that an answer may have whatever the bodies of callers and targets
/// take: several times the largest catalog, with what parsing it takes.
constexpr std::size_t assured_answer_bytes = 12U << 20U;

/// How many times the bytes of an answer it takes until it is applied: its
/// bytes, those that are permitted, the strings parsed, and what they encode.
constexpr std::size_t copies_while_parsed = 4;

} // namespace

std::string_view to_string(record_fault value)
{
    constexpr std::array<std::string_view, 5> names{"none", "bytes", "fields",
                                                    "state", "address"};
    return names.at(static_cast<std::size_t>(value));
}

source_reader::source_reader(entry_context& context,
                             const source_dialect& dialect)
    : m_context(context), m_dialect(dialect),
      m_connections(context.loop, context.time,
                    context.bodies.with_assured(assured_answer_bytes)),
      m_confirmation_asked(context.loop)
{
}

void source_reader::apply_catalog(const std::string& text,
                                  std::string_view from)
{
    try
    {
        catalog::document read = m_dialect.parse_catalog(text);
        const std::uint64_t present =
            m_context.catalog ? m_context.catalog->version() : 0;
        // Sources and peers can have outdated catalogs. An older version is
        // never put in force again, or revoked keys would become valid.
        if (m_context.catalog && read.version <= present)
            return;
        runtime::event("catalog_in_force")
            .with("version", read.version)
            .with("before", present)
            .with("from", from)
            .info();
        m_catalog_text = std::make_shared<const std::string>(text);
        m_context.catalog =
            std::make_shared<catalog::catalog_index>(std::move(read));
    }
    catch (const invalid_message& fault)
    {
        runtime::event("catalog_unreadable")
            .with("from", from)
            .with("fault", fault.what())
            .error();
    }
}

decision::catch_up::source_state source_reader::source_state() const
{
    const bool is_receiving =
        m_received_at && m_context.now() < *m_received_at + source_read_time;
    return {m_context.directory.is_source_available(),
            is_receiving || (m_is_reading && !is_list_stalled() &&
                             m_list.target_walk.pages() > 0)};
}

// An answer that arrives steadily is never aborted, whatever its size: a
// repeated request would not complete sooner and would double the load of the
// link.
awaitable<target_call::outcome> source_reader::read_body(target_call& call,
                                                         instant started_at,
                                                         duration time_limit)
{
    auto result = target_call::outcome::ok;
    while (result == target_call::outcome::ok && !call.is_complete())
    {
        const duration extension =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                static_cast<double>(call.received_bytes()) / min_rate));
        const instant end = started_at + time_limit + extension;
        const std::size_t before = call.received_bytes();
        const duration left = time_until(end, m_context.now());
        result =
            co_await call.read_more(std::clamp(left, duration(1), max_gap));
        if (call.received_bytes() > before)
            m_received_at = m_context.now();
    }
    co_return result;
}

awaitable<std::optional<std::string>> source_reader::fetch(http_request request,
                                                           duration time_limit,
                                                           duration answer_time,
                                                           unsigned& status)
{
    status = 0;
    m_connections.close_expired();
    const auto sent = std::make_shared<target_call>(
        m_connections, m_context.protocol,
        call_destination{"source", m_context.settings.source_address});
    m_current_call = sent;
    const instant started_at = m_context.now();
    auto result = co_await sent->send_unaddressed(request, time_limit);
    if (result == target_call::outcome::ok)
        result = co_await read_body(*sent, started_at, answer_time);
    m_received_at.reset();
    m_last_status = 0;
    if (result != target_call::outcome::ok)
    {
        const std::size_t received = sent->received_bytes();
        if (received > 0)
            runtime::event("source_answer_cut")
                .with("received_bytes", received)
                .with("after_ms",
                      whole_milliseconds(m_context.now() - started_at))
                .warn();
        sent->abort();
        co_return std::nullopt;
    }
    status = sent->head().result_int();
    m_last_status = status;
    std::string body = sent->take_body();
    sent->release_connection();
    // Held until the next answer, as m_current_call.
    if (!sent->hold(copies_while_parsed * body.size()))
    {
        runtime::event("source_answer_too_large")
            .with("received_bytes", body.size())
            .warn();
        co_return std::nullopt;
    }
    co_return body;
}

void source_reader::set_reachable(bool is_reachable)
{
    m_failures = is_reachable ? 0 : m_failures + 1;
    m_context.directory.set_source_available(is_reachable, m_context.now());
    if (is_reachable == m_is_reachable)
        return;
    m_is_reachable = is_reachable;
    const instant now = m_context.now();
    const duration before = now - m_reachability_changed_at.value_or(now);
    m_reachability_changed_at = now;
    runtime::event(is_reachable ? "source_regained" : "source_lost")
        .with("revision", m_revision)
        .with("last_status", m_last_status)
        .with(is_reachable ? "lost_ms" : "reached_ms",
              whole_milliseconds(before))
        .info();
}

duration source_reader::watch_wait()
{
    const duration adoption_time = m_context.settings.max_configuration_delay;
    const duration shortest =
        decision::source_polling::watch_timeout_after_failure(adoption_time);
    if (m_failures > 0)
        return shortest;
    const duration wait = decision::source_polling::watch_timeout(
        adoption_time, m_context.responding_entries,
        m_context.random.fraction());
    if (!m_is_reading)
        return wait;
    return std::clamp(m_next_page_at - m_context.now(), shortest,
                      std::max(shortest, wait));
}

// A change that the source can't deliver is in the list, too.
void source_reader::note_watch_refused()
{
    const instant now = m_context.now();
    if (!m_watch_refused_since)
        m_watch_refused_since = now;
    if (now <
        *m_watch_refused_since + m_context.settings.max_configuration_delay / 2)
        return;
    runtime::event("source_watch_refused")
        .with("revision", m_revision)
        .with("status", m_last_status)
        .warn();
    m_context.count("source_refusals", "what", "watch");
    m_watch_refused_since.reset();
    m_context.versions.note_missed();
    m_revision = 0;
    begin_list();
}

awaitable<bool> source_reader::watch()
{
    const duration adoption_time = m_context.settings.max_configuration_delay;
    m_is_confirming = co_await m_confirmation_asked.wait(duration::zero());
    const duration wait = m_is_confirming ? duration::zero() : watch_wait();
    const instant sent_at = m_context.now();
    m_watch_started_at = sent_at;
    unsigned status = 0;
    const auto body = co_await fetch(
        m_dialect.watch_request(m_revision, wait), wait + watch_slack,
        std::max(wait, adoption_time) + watch_slack, status);
    m_watch_started_at.reset();
    if (std::exchange(m_is_watch_aborted, false))
        co_return true;
    if (body && status == gone)
    {
        runtime::event("history_lost").with("revision", m_revision).warn();
        m_context.versions.note_missed();
        m_revision = 0;
        begin_list();
        co_return true;
    }
    if (!body || status != source_ok)
        co_return false;
    const source_page page = m_dialect.parse_changes(*body);
    m_watch_refused_since.reset();
    apply(page);
    if (m_failures > 0)
        m_next_page_at = m_context.now();
    m_context.list_current_at = m_context.now();
    m_context.versions.note_versions(m_context.directory.take_seen_versions(),
                                     m_context.now());
    // The answer may have waited at this process while it stood still.
    m_revision = std::max(m_revision, page.revision);
    m_context.versions.note_up_to_date(sent_at, m_revision);
    if (page.changes.empty())
        co_return true;
    const bool is_asked = co_await m_confirmation_asked.wait(
        decision::source_polling::pause_after_changes(
            m_context.settings.max_configuration_delay));
    if (is_asked)
        m_confirmation_asked.set();
    co_return true;
}

// The history may not reach back as far, and an answer may contain a part of
// the changes. What fails otherwise is asked for again.
awaitable<bool> source_reader::read_missed(std::uint64_t after)
{
    std::set<decision::stream_origin> written;
    for (std::uint64_t read_to = after;;)
    {
        unsigned status = 0;
        const auto body =
            co_await fetch(m_dialect.watch_request(read_to, duration::zero()),
                           source_read_time, source_read_time, status);
        if (body && status == gone)
        {
            m_context.versions.note_unreadable(after);
            runtime::event("missed_changes_lost")
                .with("revision", after)
                .info();
            co_return true;
        }
        if (!body || status != source_ok)
            co_return false;
        const source_page page = m_dialect.parse_changes(*body);
        for (const source_change& change : page.changes)
            if (change.kind == source_change::record_kind::target)
                written.insert({change.target.service, change.target.version});
        if (page.revision >= std::max(m_revision, after))
            break;
        if (page.revision <= read_to)
            co_return false;
        read_to = page.revision;
    }
    m_context.versions.note_read(after, written);
    runtime::event("missed_changes_read")
        .with("revision", after)
        .with("versions", written.size())
        .info();
    co_return true;
}

awaitable<void> source_reader::sleep(duration time)
{
    loop_timer timer(m_context.loop, time);
    error_code ignored; // The timer is never cancelled.
    co_await timer.async_wait(store_error_in(ignored));
}

awaitable<void> source_reader::back_off()
{
    co_await sleep(decision::source_polling::retry_delay(
        m_context.settings.max_configuration_delay, m_failures,
        m_context.random.fraction()));
}

// The wait of a watch grows with the number of responding entries. If fewer
// respond now, the watch may last longer than this entry can go without
// changes.
void source_reader::end_long_watch()
{
    const duration longest = decision::source_polling::max_watch_timeout(
        m_context.settings.max_configuration_delay,
        m_context.responding_entries);
    // A watch whose answer is arriving no longer waits.
    if (!m_watch_started_at || m_is_watch_aborted ||
        m_current_call->received_bytes() > 0 ||
        m_context.now() <= *m_watch_started_at + longest + watch_slack)
        return;
    m_is_watch_aborted = true;
    m_current_call->abort();
}

// While the source fails, the next watch is short anyway, and one that is ended
// would hide the failure.
void source_reader::confirm()
{
    m_is_read_missed_due = true;
    m_confirmation_asked.set();
    const bool is_waiting = m_watch_started_at && !m_is_watch_aborted &&
                            !m_is_confirming && m_failures == 0 &&
                            m_current_call->received_bytes() == 0;
    if (!is_waiting)
        return;
    m_is_watch_aborted = true;
    m_current_call->abort();
}

awaitable<void> source_reader::run()
{
    for (;;)
    {
        if (!m_is_reading && m_next_list_at &&
            m_context.now() >= *m_next_list_at)
            begin_list();
        const bool is_watch = !is_list_due();
        bool is_ok = false;
        try
        {
            const auto unread = m_context.versions.unread_after();
            if (is_watch && std::exchange(m_is_read_missed_due, false) &&
                unread)
                co_await read_missed(*unread);
            if (is_watch)
                is_ok = co_await watch();
            else
                is_ok = co_await read_step();
        }
        catch (const invalid_message& fault)
        {
            runtime::event("source_unreadable")
                .with("fault", fault.what())
                .warn();
        }
        if (is_watch && !is_ok && is_refusal(m_last_status))
            note_watch_refused();
        // Whether the source is reachable shows in the watch while a page
        // fails.
        if (is_watch || is_ok || !can_watch())
        {
            set_reachable(is_ok);
            m_context.directory.expire(m_context.now());
            if (!is_ok)
                co_await back_off();
        }
    }
}

} // namespace mangofold::serving

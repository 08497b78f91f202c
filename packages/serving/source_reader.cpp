#include "serving/source_reader.hpp"

#include "decision/source_polling.hpp"
#include "runtime/event.hpp"
#include "serving/zone_notices.hpp"

#include <array>
#include <utility>

namespace mangofold::serving
{

namespace
{

/// How long a read without a wait may take before it is repeated.
constexpr duration read_time = std::chrono::milliseconds(700);

/// Lowest rate, in bytes per second, at which an answer extends its time limit:
/// a twentieth of a link of 10 Mbit/s. A slower answer is aborted.
constexpr double min_rate = 62500;

/// Longest pause between two pieces of data of an answer: several times what
/// the retransmission of a lost packet takes.
constexpr duration max_gap = std::chrono::seconds(2);

/// Additional time for the answer to a watch beyond its wait.
constexpr duration watch_slack = std::chrono::milliseconds(400);

constexpr unsigned ok = 200;
constexpr unsigned gone = 410;

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
      m_connections(context.loop, context.time, body_memory())
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
        m_received_at && m_context.now() < *m_received_at + read_time;
    return {m_context.directory.is_source_available(),
            is_receiving || m_list.pages > 0};
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
    // Not the pool of the targets: bodies of theirs must not leave the source's
    // answers without memory.
    const auto sent = std::make_shared<target_call>(
        m_connections, m_context.protocol,
        call_destination{"source", m_context.settings.source_address});
    m_current_call = sent;
    const instant started_at = m_context.now();
    auto result = co_await sent->send_request(request, {}, time_limit);
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

// The evacuated zones are read together with the catalog. No request is sent
// before both are known, so none reaches an evacuated zone for lack of the
// list.
awaitable<bool> source_reader::read_declarations()
{
    unsigned status = 0;
    const auto body =
        co_await fetch(m_dialect.declarations_request(m_list.last_declaration),
                       read_time, read_time, status);
    if (!body || status != ok)
        co_return false;
    const source_page page = m_dialect.parse_declarations(*body);
    report_skipped_items(page);
    if (m_list.zones.complete_as_of == 0)
        m_list.zones.complete_as_of = page.revision;
    for (const source_change& change : page.changes)
    {
        if (change.kind == source_change::record_kind::catalog)
            apply_catalog(change.catalog, "source");
        if (change.kind != source_change::record_kind::zone)
            continue;
        // The record existed at the revision of the first page or was written
        // later.
        m_list.zones.states.push_back(change.zone);
        m_list.zones.states.back().revision =
            std::max(change.zone.revision, m_list.zones.complete_as_of);
    }
    m_list.last_declaration = page.last_key;
    m_list.are_declarations_read = !page.has_more;
    if (m_list.are_declarations_read)
        apply_zone_evacuations(m_context, m_list.zones, "source");
    co_return true;
}

// If all entries of a large fleet start at once, their reads share the source's
// link, and reading the whole list takes seconds. So targets are used as soon
// as their page is read, and a failed page is repeated without the previous
// ones.
awaitable<bool> source_reader::read_page()
{
    unsigned status = 0;
    const auto body =
        co_await fetch(m_dialect.targets_request(m_list.last_target), read_time,
                       read_time, status);
    if (!body || status != ok)
        co_return false;
    const source_page page = m_dialect.parse_targets(*body);
    report_skipped_items(page);
    // The pages are not a consistent snapshot: the watch starts at the revision
    // of the first page and repeats the changes since.
    if (m_list.pages == 0)
        m_list.revision = page.revision;
    ++m_list.pages;
    std::vector<decision::listed_target> page_targets;
    for (const source_change& change : page.changes)
    {
        if (change.kind == source_change::record_kind::target)
        {
            page_targets.push_back(change.target);
            m_context.note_cold(change.target);
        }
        if (change.kind == source_change::record_kind::target_unreadable)
            report_unreadable(change);
    }
    m_context.directory.note_partial_list(page_targets);
    m_context.has_some_targets = true;
    m_list.targets.insert(m_list.targets.end(), page_targets.begin(),
                          page_targets.end());
    m_list.has_more = page.has_more;
    m_list.last_target = page.last_key;
    co_return true;
}

void source_reader::apply_full_list()
{
    const auto missing = m_context.directory.note_full_list(
        m_list.targets, m_list.revision, m_context.now());
    for (const std::string& id : missing)
        report_removal(id, m_list.revision, "list");
    m_context.has_all_targets = true;
    m_context.versions.note_gap(m_context.now());
    m_context.list_current_at = m_context.now();
    m_revision = m_list.revision;
    runtime::event("targets_read")
        .with("targets", m_list.targets.size())
        .with("pages", m_list.pages)
        .with("revision", m_revision)
        .info();
    m_list = {};
    m_has_full_list = true;
}

// The watch continues from the first page's revision, so the declarations are
// read after that page. They are read before the other pages, as no request can
// be sent without them.
awaitable<bool> source_reader::read_step()
{
    bool is_ok = true;
    if (m_list.pages > 0 && !m_list.are_declarations_read)
        is_ok = co_await read_declarations();
    else
        is_ok = co_await read_page();
    if (m_list.are_declarations_read && !m_list.has_more)
        apply_full_list();
    co_return is_ok;
}

awaitable<bool> source_reader::watch()
{
    const duration adoption_time = m_context.settings.max_configuration_delay;
    const duration wait =
        m_failures > 0 ? decision::source_polling::watch_timeout_after_failure(
                             adoption_time)
                       : decision::source_polling::watch_timeout(
                             adoption_time, m_context.responding_entries,
                             m_context.random.fraction());
    m_watch_started_at = m_context.now();
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
        m_has_full_list = false;
        co_return true;
    }
    if (!body || status != ok)
        co_return false;
    const source_page page = m_dialect.parse_changes(*body);
    apply(page);
    m_context.list_current_at = m_context.now();
    m_revision = std::max(m_revision, page.revision);
    if (!page.changes.empty())
        co_await sleep(decision::source_polling::pause_after_changes(
            m_context.settings.max_configuration_delay));
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

awaitable<void> source_reader::run()
{
    for (;;)
    {
        bool is_ok = false;
        try
        {
            if (m_has_full_list)
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
        set_reachable(is_ok);
        m_context.directory.expire(m_context.now());
        if (!is_ok)
            co_await back_off();
    }
}

} // namespace mangofold::serving

#include "serving/source_reader.hpp"

#include "decision/source_pace.hpp"
#include "runtime/event.hpp"
#include "serving/zone_notices.hpp"

#include <array>
#include <utility>

namespace mangofold::serving
{

namespace
{

/// How long a plain read may take before it is asked again.
constexpr duration read_time = std::chrono::milliseconds(700);

/// What an answer earns its further time with, in bytes a second: a twentieth
/// of a link of 10 Mbit/s. One that comes more slowly is given up.
constexpr double least_rate = 62500;

/// How long an answer that has begun may bring nothing: several times what a
/// lost packet takes to be sent again.
constexpr duration longest_gap = std::chrono::seconds(2);

/// How long the answer to a watch may take beyond its wait.
constexpr duration watch_slack = std::chrono::milliseconds(400);

constexpr unsigned ok = 200;
constexpr unsigned gone = 410;

} // namespace

std::string_view to_string(entry_fault value)
{
    constexpr std::array<std::string_view, 5> names{"none", "bytes", "fields",
                                                    "state", "address"};
    return names.at(static_cast<std::size_t>(value));
}

source_reader::source_reader(entry_context& context,
                             const source_dialect& speech)
    : m_context(context), m_dialect(speech)
{
}

void source_reader::adopt(const std::string& text, std::string_view from)
{
    try
    {
        catalog::document read = m_dialect.parse_catalog(text);
        const std::uint64_t present =
            m_context.catalog ? m_context.catalog->version() : 0;
        // Sources and peers can be behind. A version that was once in force
        // never comes back, or keys that were taken away would work again.
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

decision::catch_up::source_state source_reader::state() const
{
    const bool is_coming =
        m_received_at && m_context.now() < *m_received_at + read_time;
    return {m_context.directory.has_source(), is_coming || m_list.pages > 0};
}

// An answer that grows is not given up, whatever its size: asked for again it
// would come no sooner and fill the link twice.
awaitable<target_call::state>
source_reader::read_body(target_call& call, instant began, duration most)
{
    auto got = target_call::state::good;
    while (got == target_call::state::good && !call.is_complete())
    {
        const duration earned =
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                static_cast<double>(call.received_bytes()) / least_rate));
        const instant end = began + most + earned;
        const std::size_t before = call.received_bytes();
        const duration left = time_until(end, m_context.now());
        got = co_await call.more(std::clamp(left, duration(1), longest_gap));
        if (call.received_bytes() > before)
            m_received_at = m_context.now();
    }
    co_return got;
}

awaitable<std::optional<std::string>>
source_reader::ask(http_request request, duration most, unsigned& status)
{
    status = 0;
    const auto sent = std::make_shared<target_call>(
        m_context.links, m_context.speech,
        call_target{"source", m_context.settings.source});
    m_asked = sent;
    const instant began = m_context.now();
    auto got = co_await sent->begin(request, {}, most);
    if (got == target_call::state::good)
        got = co_await read_body(*sent, began, most);
    m_received_at.reset();
    m_last_status = 0;
    if (got != target_call::state::good)
    {
        const std::size_t received = sent->received_bytes();
        if (received > 0)
            runtime::event("source_answer_cut")
                .with("received_bytes", received)
                .with("after_ms", whole_milliseconds(m_context.now() - began))
                .warn();
        sent->abort();
        co_return std::nullopt;
    }
    status = sent->head().result_int();
    m_last_status = status;
    std::string body = sent->take_body();
    sent->finish();
    co_return body;
}

void source_reader::note_source(bool is_there)
{
    m_failures = is_there ? 0 : m_failures + 1;
    m_context.directory.set_source(is_there, m_context.now());
    if (is_there == m_is_there)
        return;
    m_is_there = is_there;
    runtime::event(is_there ? "source_regained" : "source_lost")
        .with("revision", m_revision)
        .with("last_status", m_last_status)
        .info();
}

// The evacuated zones come with the catalog, so no request can be sent to one
// for want of knowing it: before both are here none is sent at all.
awaitable<bool> source_reader::read_declarations()
{
    unsigned status = 0;
    const auto body = co_await ask(
        m_dialect.read_declarations(m_list.declared_after), read_time, status);
    if (!body || status != ok)
        co_return false;
    const source_page page = m_dialect.declarations_page(*body);
    if (m_list.zones.whole_at == 0)
        m_list.zones.whole_at = page.revision;
    for (const source_change& one : page.changes)
    {
        if (one.what == source_change::kind::catalog)
            adopt(one.catalog, "source");
        if (one.what != source_change::kind::zone)
            continue;
        // What stands there now stood there at the revision of the first page,
        // or was written after it.
        m_list.zones.words.push_back(one.zone);
        m_list.zones.words.back().revision =
            std::max(one.zone.revision, m_list.zones.whole_at);
    }
    m_list.declared_after = page.last_key;
    m_list.are_declarations_read = !page.has_more;
    if (m_list.are_declarations_read)
        take_zone_words(m_context, m_list.zones, "source");
    co_return true;
}

// Where all entries start at once their pages share the source's link, and
// what is read whole before any of it is used comes seconds later in a large
// fleet. So targets serve from their page on, and a page that fails is asked
// for again without those before it.
awaitable<bool> source_reader::read_page()
{
    unsigned status = 0;
    const auto body =
        co_await ask(m_dialect.read_targets(m_list.after), read_time, status);
    if (!body || status != ok)
        co_return false;
    const source_page page = m_dialect.targets_page(*body);
    // The pages are no snapshot: what changed since the first was read comes
    // again by watching from there on.
    if (m_list.pages == 0)
        m_list.revision = page.revision;
    ++m_list.pages;
    std::vector<decision::listed_target> listed;
    for (const source_change& one : page.changes)
    {
        if (one.what == source_change::kind::target)
        {
            listed.push_back(one.target);
            m_context.note_cold(one.target);
        }
        if (one.what == source_change::kind::target_unreadable)
            note_unreadable(one);
    }
    m_context.directory.note_listed(listed);
    m_context.knows_targets = true;
    m_list.targets.insert(m_list.targets.end(), listed.begin(), listed.end());
    m_list.has_more = page.has_more;
    m_list.after = page.last_key;
    co_return true;
}

void source_reader::note_whole_list()
{
    m_context.directory.note_all(m_list.targets, m_list.revision,
                                 m_context.now());
    m_context.knows_all_targets = true;
    m_revision = m_list.revision;
    runtime::event("targets_read")
        .with("targets", m_list.targets.size())
        .with("pages", m_list.pages)
        .with("revision", m_revision)
        .info();
    m_list = {};
    m_has_all = true;
}

// The watch goes on from the first page's revision, so the declarations are
// read after that page; before the others, as no request can do without them.
awaitable<bool> source_reader::read_next()
{
    bool is_good = true;
    if (m_list.pages > 0 && !m_list.are_declarations_read)
        is_good = co_await read_declarations();
    else
        is_good = co_await read_page();
    if (m_list.are_declarations_read && !m_list.has_more)
        note_whole_list();
    co_return is_good;
}

awaitable<bool> source_reader::watch()
{
    const duration wait = decision::source_pace::watch_time(
        m_context.settings.adoption_time, m_context.entries_answering,
        m_context.random.fraction());
    m_watch_began = m_context.now();
    unsigned status = 0;
    const auto body = co_await ask(m_dialect.watch(m_revision, wait),
                                   wait + watch_slack, status);
    m_watch_began.reset();
    if (std::exchange(m_is_cut_short, false))
        co_return true;
    if (body && status == gone)
    {
        runtime::event("history_lost").with("revision", m_revision).warn();
        m_has_all = false;
        co_return true;
    }
    if (!body || status != ok)
        co_return false;
    const source_page page = m_dialect.changes_page(*body);
    apply(page);
    m_revision = std::max(m_revision, page.revision);
    if (!page.changes.empty())
        co_await rest(
            decision::source_pace::rest_time(m_context.settings.adoption_time));
    co_return true;
}

awaitable<void> source_reader::rest(duration time)
{
    loop_timer timer(m_context.loop, time);
    error_code ignored; // Nobody cancels it.
    co_await timer.async_wait(store_error_in(ignored));
}

awaitable<void> source_reader::pause()
{
    co_await rest(decision::source_pace::failure_pause(
        m_context.settings.adoption_time, m_failures,
        m_context.random.fraction()));
}

// A watch that began among many others may wait longer than an entry that
// hears of few now can afford.
void source_reader::end_long_watch()
{
    const duration longest = decision::source_pace::longest_watch(
        m_context.settings.adoption_time, m_context.entries_answering);
    // An answer that is coming is no watch any more.
    if (!m_watch_began || m_is_cut_short || m_asked->received_bytes() > 0 ||
        m_context.now() <= *m_watch_began + longest + watch_slack)
        return;
    m_is_cut_short = true;
    m_asked->abort();
}

awaitable<void> source_reader::run()
{
    for (;;)
    {
        bool is_good = false;
        try
        {
            if (m_has_all)
                is_good = co_await watch();
            else
                is_good = co_await read_next();
        }
        catch (const invalid_message& fault)
        {
            runtime::event("source_unreadable")
                .with("fault", fault.what())
                .warn();
        }
        note_source(is_good);
        m_context.directory.expire(m_context.now());
        if (!is_good)
            co_await pause();
    }
}

} // namespace mangofold::serving

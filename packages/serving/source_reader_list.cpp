#include "runtime/event.hpp"
#include "serving/source_reader.hpp"
#include "serving/zone_notices.hpp"

#include <algorithm>
#include <array>

namespace mangofold::serving
{

namespace
{

/// After a read in part the list is read again after twice this many adoption
/// times, and later each time after twice as long.
constexpr std::uint32_t first_list_pause = 2;
constexpr std::uint32_t max_list_doublings = 4;

} // namespace

bool is_refusal(unsigned status)
{
    constexpr std::array<unsigned, 6> unavailable{0, 408, 429, 502, 503, 504};
    return std::find(unavailable.begin(), unavailable.end(), status) ==
           unavailable.end();
}

void source_reader::begin_list()
{
    m_list = {};
    m_is_reading = true;
    m_next_page_at = m_context.now();
    m_next_list_at.reset();
}

// The evacuated zones are read together with the catalog. No request is sent
// before both are known, so none reaches an evacuated zone for lack of the
// list.
awaitable<bool> source_reader::read_declarations()
{
    decision::list_walk& walk = m_list.declaration_walk;
    unsigned status = 0;
    const auto body =
        co_await fetch(m_dialect.declarations_request(walk.position()),
                       source_read_time, source_read_time, status);
    if (!body || status != source_ok)
        co_return false;
    const source_page page = m_dialect.parse_declarations(*body);
    report_skipped_items(page);
    note_list_revision(page.revision);
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
    co_return walk.note_page(page.last_key, page.has_more);
}

// If all entries of a large fleet start at once, their reads share the source's
// link, and reading the whole list takes seconds. So targets are used as soon
// as their page is read, and a failed page is repeated without the previous
// ones.
awaitable<bool> source_reader::read_page()
{
    decision::list_walk& walk = m_list.target_walk;
    unsigned status = 0;
    const auto body =
        co_await fetch(m_dialect.targets_request(walk.position()),
                       source_read_time, source_read_time, status);
    if (!body || status != source_ok)
        co_return false;
    const source_page page = m_dialect.parse_targets(*body);
    report_skipped_items(page);
    note_list_revision(page.revision);
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
    const bool is_next = walk.note_page(page.last_key, page.has_more);
    if (is_next)
        m_list.targets.insert(m_list.targets.end(), page_targets.begin(),
                              page_targets.end());
    co_return is_next;
}

// The pages are not a consistent snapshot: the watch starts at the revision of
// the first page and repeats the changes since.
void source_reader::note_list_revision(std::uint64_t revision)
{
    if (m_list.revision == 0)
        m_list.revision = revision;
    if (m_revision == 0)
        m_revision = revision;
}

// The declarations are read after the first page of targets and before the
// other pages, as no request can be sent without them. A list that fails does
// not hold up the other one.
decision::list_walk& source_reader::next_walk()
{
    decision::list_walk& targets = m_list.target_walk;
    decision::list_walk& declarations = m_list.declaration_walk;
    if (targets.is_done() || declarations.is_done())
        return targets.is_done() ? declarations : targets;
    if (targets.is_failing() != declarations.is_failing())
        return targets.is_failing() ? declarations : targets;
    if (!targets.is_failing())
        return targets.pages() > 0 ? declarations : targets;
    m_list.is_declarations_turn = !m_list.is_declarations_turn;
    return m_list.is_declarations_turn ? declarations : targets;
}

awaitable<bool> source_reader::read_step()
{
    decision::list_walk& walk = next_walk();
    const bool are_targets = &walk == &m_list.target_walk;
    bool is_ok = false;
    try
    {
        if (are_targets)
            is_ok = co_await read_page();
        else
            is_ok = co_await read_declarations();
    }
    catch (const invalid_message& fault)
    {
        runtime::event("source_unreadable").with("fault", fault.what()).warn();
    }
    m_next_page_at = m_context.now();
    if (!is_ok)
        note_page_failure(walk);
    if (!are_targets && walk.is_done())
    {
        if (!walk.is_whole())
            m_list.zones.complete_as_of = 0;
        apply_zone_evacuations(m_context, m_list.zones, "source");
    }
    if (m_list.declaration_walk.is_done() && m_list.target_walk.is_done())
        end_list();
    co_return is_ok;
}

void source_reader::note_page_failure(decision::list_walk& walk)
{
    const duration adoption_time = m_context.settings.max_configuration_delay;
    const instant now = m_context.now();
    const std::string position = walk.position();
    const bool had_stalled = walk.is_stalled(adoption_time, now);
    walk.note_failure(is_refusal(m_last_status)
                          ? decision::list_walk::failure::refused
                          : decision::list_walk::failure::unanswered,
                      adoption_time, now);
    const bool is_skipped = walk.position() != position || walk.is_done();
    m_next_page_at = is_skipped ? now : walk.retry_at(adoption_time, now);
    if (!had_stalled && !is_skipped)
        return;
    m_context.metrics.set_gauge({"source_list_incomplete", {}}, 1);
    m_context.count("source_refusals", "what", is_skipped ? "skipped" : "page");
    runtime::event(is_skipped ? "source_page_skipped" : "source_page_fails")
        .with("after", position)
        .with("status", m_last_status)
        .warn();
}

bool source_reader::is_list_stalled() const
{
    const duration adoption_time = m_context.settings.max_configuration_delay;
    const instant now = m_context.now();
    return m_list.target_walk.is_stalled(adoption_time, now) ||
           m_list.declaration_walk.is_stalled(adoption_time, now);
}

bool source_reader::can_watch() const
{
    return m_revision > 0 && (!m_is_reading || is_list_stalled());
}

bool source_reader::is_list_due() const
{
    return !can_watch() || (m_is_reading && m_context.now() >= m_next_page_at);
}

void source_reader::apply_full_list()
{
    const auto missing = m_context.directory.note_full_list(
        m_list.targets, m_list.revision, m_context.now());
    for (const std::string& id : missing)
        report_removal(id, m_list.revision, "list");
    m_context.has_all_targets = true;
    m_context.versions.note_gap(m_context.now(), m_list.revision);
    m_context.list_current_at = m_context.now();
    runtime::event("targets_read")
        .with("targets", m_list.targets.size())
        .with("pages", m_list.target_walk.pages())
        .with("revision", m_list.revision)
        .info();
}

// Targets that a list in part does not contain may still be there, so none is
// removed.
void source_reader::end_list()
{
    if (m_list.target_walk.is_whole())
        apply_full_list();
    const bool is_whole =
        m_list.target_walk.is_whole() && m_list.declaration_walk.is_whole();
    m_partial_lists = is_whole ? 0 : m_partial_lists + 1;
    m_context.metrics.set_gauge({"source_list_incomplete", {}},
                                is_whole ? 0 : 1);
    const std::uint32_t doublings =
        std::min(m_partial_lists, max_list_doublings);
    begin_list();
    // Without the revision of any page there is nothing to watch.
    m_is_reading = m_revision == 0;
    if (!is_whole)
        m_next_list_at =
            m_context.now() + m_context.settings.max_configuration_delay *
                                  (first_list_pause << doublings);
}

} // namespace mangofold::serving

#include "runtime/event.hpp"
#include "serving/source_reader.hpp"
#include "serving/zone_notices.hpp"

namespace mangofold::serving
{

void source_reader::apply(const source_page& page)
{
    const instant now = m_context.now();
    report_skipped_items(page);
    for (const source_change& change : page.changes)
    {
        switch (change.kind)
        {
        case source_change::record_kind::catalog:
            apply_catalog(change.catalog, "source");
            break;
        case source_change::record_kind::zone:
            apply_zone_evacuations(m_context, {{change.zone}, 0}, "source");
            break;
        case source_change::record_kind::target:
            report_unknown_service(change);
            m_context.note_cold(change.target);
            if (m_context.directory.note(change.target))
                runtime::event("target_listed")
                    .with("target", change.target.incarnation.id)
                    .with("born", change.target.incarnation.started_ms)
                    .with("version", change.target.version)
                    .with("state",
                          change.target.is_leaving ? "leaving" : "serving")
                    .with("revision", change.target.revision)
                    .info();
            break;
        case source_change::record_kind::target_removed:
            if (m_context.directory.note_removed(change.target.incarnation.id,
                                                 change.revision, now))
                report_removal(change.target.incarnation.id, change.revision,
                               "watch");
            break;
        case source_change::record_kind::target_unreadable:
            report_unreadable(change);
            break;
        case source_change::record_kind::other:
            break;
        }
    }
}

void source_reader::report_skipped_items(const source_page& page)
{
    if (page.skipped_items == 0)
        return;
    m_context.metrics.count({"source_items_skipped", {}}) += page.skipped_items;
    runtime::event("source_items_skipped")
        .with("items", page.skipped_items)
        .with("revision", page.revision)
        .warn();
}

// No route uses the target's service now. The target stays in the list, as the
// next catalog can define the service.
void source_reader::report_unknown_service(const source_change& change)
{
    if (!m_context.catalog ||
        m_context.catalog->find_service(change.target.service) != nullptr)
        return;
    m_context.count("entries_unreadable", "why", "service");
    runtime::event("target_of_unknown_service")
        .with("target", change.target.incarnation.id)
        .with("service", change.target.service)
        .with("revision", change.revision)
        .warn();
}

void source_reader::report_removal(const std::string& id,
                                   std::uint64_t revision,
                                   std::string_view from)
{
    const std::string_view taken_for =
        m_context.directory.may_have_expired(id) ? "expired" : "gone";
    m_context.count("targets_removed", "as", taken_for);
    runtime::event("target_removed")
        .with("target", id)
        .with("as", taken_for)
        .with("from", from)
        .with("revision", revision)
        .info();
}

// Counts and logs a revision of a record only once, however often it is read.
void source_reader::report_unreadable(const source_change& change)
{
    if (!m_context.directory.note_unreadable(change.target.incarnation.id,
                                             change.revision))
        return;
    m_context.count("entries_unreadable", "why", to_string(change.fault));
    runtime::event("target_unreadable")
        .with("target", change.target.incarnation.id)
        .with("why", to_string(change.fault))
        .with("revision", change.revision)
        .warn();
}

} // namespace mangofold::serving

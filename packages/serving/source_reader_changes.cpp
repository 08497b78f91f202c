#include "runtime/event.hpp"
#include "serving/source_reader.hpp"
#include "serving/zone_notices.hpp"

namespace mangofold::serving
{

void source_reader::apply(const source_page& page)
{
    const instant now = m_context.now();
    for (const source_change& one : page.changes)
    {
        switch (one.what)
        {
        case source_change::kind::catalog:
            adopt(one.catalog, "source");
            break;
        case source_change::kind::zone:
            take_zone_words(m_context, {{one.zone}, 0}, "source");
            break;
        case source_change::kind::target:
            note_service(one);
            m_context.note_cold(one.target);
            if (m_context.directory.note(one.target))
                runtime::event("target_listed")
                    .with("target", one.target.incarnation.id)
                    .with("born", one.target.incarnation.started_ms)
                    .with("state",
                          one.target.is_leaving ? "leaving" : "serving")
                    .with("revision", one.target.revision)
                    .info();
            break;
        case source_change::kind::target_removed:
            if (m_context.directory.note_removed(one.target.incarnation.id,
                                                 one.revision, now))
                runtime::event("target_removed")
                    .with("target", one.target.incarnation.id)
                    .with("revision", one.revision)
                    .info();
            break;
        case source_change::kind::target_unreadable:
            note_unreadable(one);
            break;
        case source_change::kind::other:
            break;
        }
    }
}

// No route leads to it now. It stays in the list: the next catalog can name
// its service.
void source_reader::note_service(const source_change& one)
{
    if (!m_context.catalog ||
        m_context.catalog->find_service(one.target.service) != nullptr)
        return;
    m_context.count("entries_unreadable", "why", "service");
    runtime::event("target_of_unknown_service")
        .with("target", one.target.incarnation.id)
        .with("service", one.target.service)
        .with("revision", one.revision)
        .warn();
}

// One line for each writing, however often it is read.
void source_reader::note_unreadable(const source_change& one)
{
    if (!m_context.directory.note_unreadable(one.target.incarnation.id,
                                             one.revision))
        return;
    m_context.count("entries_unreadable", "why", to_string(one.fault));
    runtime::event("target_unreadable")
        .with("target", one.target.incarnation.id)
        .with("why", to_string(one.fault))
        .with("revision", one.revision)
        .warn();
}

} // namespace mangofold::serving

#include "simulation.hpp"

namespace mangofold::relay
{

void simulation::check()
{
    for (const entry& each : m_entries)
        if (!each.is_frozen)
            check(each);
}

void simulation::check(const entry& self)
{
    for (const listed_target* target : self.directory.serving("s"))
        check_serving(self, *target);
}

// A serving target must match the newest update that the entry received about
// it. The only exception, for a limited time, is a target whose list entry
// expired while the source was unavailable.
void simulation::check_serving(const entry& self, const listed_target& target)
{
    if (self.seen_leaving.contains(target.incarnation))
        report_violation("a target that left serves again");
    const auto removed = self.removed.find(target.incarnation.id);
    if (removed != self.removed.end() && target.revision < removed->second)
        report_violation("a target whose removal was confirmed serves again");
    const auto newest = self.newest_seen.find(target.incarnation.id);
    const bool is_older =
        newest == self.newest_seen.end() || target.revision < newest->second;
    const bool may_have_expired =
        self.is_source_cut || !self.has_read_all ||
        m_now < self.source_back_at + target_directory::reregistration_time +
                    step_time;
    if (is_older && !may_have_expired)
        report_violation("an older update about a target is in force");
}

void simulation::settle()
{
    m_cut_links.clear();
    for (unsigned index = 0; index < entry_count; ++index)
    {
        m_entries[index].is_frozen = false;
        const bool has_source = index == 0;
        if (m_entries[index].is_source_cut == has_source)
            toggle_source(index);
    }
    read_all(0);
    // Copies that were pending while links were cut never arrive.
    m_copies.clear();
    constexpr duration step = std::chrono::milliseconds(100);
    const instant end = m_now + adoption_time;
    while (m_now < end)
    {
        m_now += step;
        for (entry& each : m_entries)
            each.directory.expire(m_now);
        for (unsigned index = 0; index < entry_count; ++index)
            for (unsigned other = 0; other < entry_count; ++other)
                poll_peer(index, other);
        while (!m_copies.empty())
        {
            const copy arrived = m_copies.front();
            m_copies.pop_front();
            deliver(arrived);
        }
        check();
    }
    for (const entry& each : m_entries)
    {
        if (each.version != m_version)
            report_violation("a configuration was not in force in time");
        for (const auto& [id, present] : m_current)
        {
            // Targets that any entry saw leaving may be missing.
            const bool is_serving =
                present.target && !present.target->is_leaving &&
                !m_all_leaving.contains(present.target->incarnation);
            if (is_serving &&
                each.directory.find(present.target->incarnation) == nullptr)
                report_violation("a serving target was not known in time");
        }
    }
}

} // namespace mangofold::relay

#include "simulation.hpp"

namespace mangofold::relay
{

void world::check()
{
    for (const entry& one : m_entries)
        if (!one.is_frozen)
            check(one);
}

void world::check(const entry& one)
{
    for (const listed_target* target : one.directory.serving("s"))
        check_serving(one, *target);
}

// What serves must be what was written last of all that the entry was told. A
// target whose entry ran out while the source was away is the only exception,
// for a while.
void world::check_serving(const entry& one, const listed_target& target)
{
    if (one.left.contains(target.incarnation))
        break_promise("a target that left serves again");
    const auto gone = one.gone.find(target.incarnation.id);
    if (gone != one.gone.end() && target.revision < gone->second)
        break_promise("a target that is gone for good serves again");
    const auto told = one.told.find(target.incarnation.id);
    const bool is_older =
        told == one.told.end() || target.revision < told->second;
    const bool may_have_lapsed =
        one.is_cut || !one.has_list ||
        m_now < one.back_at + target_directory::reregistration_time + move_time;
    if (is_older && !may_have_lapsed)
        break_promise("an older word about a target is in force");
}

void world::settle()
{
    m_parted.clear();
    for (unsigned index = 0; index < entries; ++index)
    {
        m_entries[index].is_frozen = false;
        const bool has_way = index == 0;
        if (m_entries[index].is_cut == has_way)
            cut(index);
    }
    read_all(0);
    // What was under way when the others could not be reached never comes.
    m_copies.clear();
    constexpr duration step = std::chrono::milliseconds(100);
    const instant end = m_now + bound;
    while (m_now < end)
    {
        m_now += step;
        for (entry& each : m_entries)
            each.directory.expire(m_now);
        for (unsigned index = 0; index < entries; ++index)
            for (unsigned other = 0; other < entries; ++other)
                ask(index, other);
        while (!m_copies.empty())
        {
            const copy arrived = m_copies.front();
            m_copies.pop_front();
            arrive(arrived);
        }
        check();
    }
    for (const entry& one : m_entries)
    {
        if (one.version != m_version)
            break_promise("a configuration is not in force in time");
        for (const auto& [id, present] : m_present)
        {
            // One that anybody saw leaving may be taken for gone.
            const bool serves =
                present.target && !present.target->is_leaving &&
                !m_ever_left.contains(present.target->incarnation);
            if (serves &&
                one.directory.find(present.target->incarnation) == nullptr)
                break_promise("a target that serves is not known in time");
        }
    }
}

} // namespace mangofold::relay

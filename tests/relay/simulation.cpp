#include "simulation.hpp"

#include <algorithm>

namespace mangofold::relay
{

namespace
{

std::string name_of(unsigned entry)
{
    return "entry-" + std::to_string(entry);
}

std::string id_of(unsigned number)
{
    return "t" + std::to_string(number);
}

} // namespace

std::ostream& operator<<(std::ostream& out, const command& value)
{
    constexpr std::array names{"publish", "list", "leave", "remove", "spoil",
                               "hear",    "read", "cut",   "part",   "freeze",
                               "restart", "ask",  "copy",  "lose",   "wait"};
    return out << names.at(static_cast<std::size_t>(value.what)) << '('
               << value.first << ',' << value.second << ')';
}

world::world()
{
    for (entry& one : m_entries)
    {
        one.lacks_catalog.set_adoption_time(bound);
        one.lacks_targets.set_adoption_time(bound);
    }
    write({0, "", {}, false, m_version});
    for (unsigned index = 0; index < entries; ++index)
        read_all(index);
}

void world::write(writing one)
{
    one.revision = ++m_revision;
    if (one.target)
        one.target->revision = m_revision;
    m_writings.push_back(one);
    if (!one.id.empty())
        m_present[one.id] = one;
}

void world::carry_out(const command& move)
{
    using kind = command::kind;
    const unsigned index = move.first % entries;
    const unsigned other = move.second % entries;
    const std::string id = id_of(move.first % ids);
    const auto present = m_present.find(id);
    const bool is_listed =
        present != m_present.end() && present->second.target.has_value();
    entry& one = m_entries[index];
    m_now += move_time;
    switch (move.what)
    {
    case kind::publish:
        write({0, "", {}, false, ++m_version});
        break;
    case kind::list:
        // Who writes for a target can be late: one that left is listed as
        // serving once more.
        if (is_listed && present->second.target->is_leaving && other == 0)
        {
            listed_target late = *present->second.target;
            late.is_leaving = false;
            write({0, id, late, false, 0});
            break;
        }
        write({0, id,
               listed_target{
                   {id, ++m_born}, "s", "10.0.0.1:80", "a", 4, false, 0},
               false, 0});
        break;
    case kind::leave:
        if (is_listed && !present->second.target->is_leaving)
        {
            listed_target leaving = *present->second.target;
            leaving.is_leaving = true;
            m_ever_left.insert(leaving.incarnation);
            write({0, id, leaving, false, 0});
        }
        break;
    case kind::remove:
        if (is_listed)
            write({0, id, {}, false, 0});
        break;
    case kind::spoil:
        if (is_listed)
            write({0, id, {}, true, 0});
        break;
    case kind::hear:
        if (!one.is_frozen && !one.is_cut)
            hear(index);
        break;
    case kind::read:
        if (!one.is_frozen && !one.is_cut)
            read_all(index);
        break;
    case kind::cut:
        cut(index);
        break;
    case kind::part:
        if (!m_parted.insert({index, other}).second)
            m_parted.erase({index, other});
        break;
    case kind::freeze:
        one.is_frozen = !one.is_frozen;
        break;
    case kind::restart:
        restart(index);
        break;
    case kind::ask:
        ask(index, other);
        break;
    case kind::copy:
        if (!m_copies.empty())
        {
            const auto at =
                m_copies.begin() +
                static_cast<std::ptrdiff_t>(move.first % m_copies.size());
            const copy arrived = *at;
            m_copies.erase(at);
            arrive(arrived);
        }
        break;
    case kind::lose:
        if (!m_copies.empty())
            m_copies.pop_front();
        break;
    case kind::wait:
        m_now += std::chrono::milliseconds(100 * (move.first % 16));
        break;
    case kind::count:
        break;
    }
    for (entry& each : m_entries)
        if (!each.is_frozen)
            each.directory.expire(m_now);
    check();
}

void world::adopt(entry& one, std::uint64_t version)
{
    const std::uint64_t before = one.version;
    if (version > one.version)
        one.version = version;
    if (one.version < before)
        break_promise("a configuration went back");
}

void world::note_told(entry& one, const std::string& id, std::uint64_t revision)
{
    std::uint64_t& newest = one.told[id];
    newest = std::max(newest, revision);
}

void world::take(entry& one, const writing& change)
{
    if (change.id.empty())
        return adopt(one, change.version);
    note_told(one, change.id, change.revision);
    if (change.target)
    {
        if (change.target->is_leaving)
            one.left.insert(change.target->incarnation);
        one.directory.note(*change.target);
    }
    else if (change.is_bad)
    {
        one.gone[change.id] = change.revision;
        one.directory.note_unreadable(change.id, change.revision);
    }
    else
        one.directory.note_removed(change.id, change.revision, m_now);
}

void world::hear(unsigned index)
{
    entry& one = m_entries[index];
    if (!one.has_list)
        return read_all(index);
    for (const writing& change : m_writings)
    {
        if (change.revision <= one.heard)
            continue;
        one.heard = change.revision;
        take(one, change);
        return check(one);
    }
}

void world::read_all(unsigned index)
{
    entry& one = m_entries[index];
    std::vector<listed_target> list;
    for (const auto& [id, present] : m_present)
    {
        note_told(one, id, m_revision);
        if (present.is_bad)
            one.directory.note_unreadable(id, present.revision);
        if (!present.target)
            continue;
        list.push_back(*present.target);
        if (present.target->is_leaving)
            one.left.insert(present.target->incarnation);
    }
    one.directory.note_full_list(list, m_revision, m_now);
    for (const listed_target& target : list)
        one.told[target.incarnation.id] = target.revision;
    if (!one.directory.is_source_available())
        one.back_at = m_now;
    one.directory.set_source_available(true, m_now);
    one.heard = m_revision;
    one.has_list = true;
    adopt(one, m_version);
}

void world::cut(unsigned index)
{
    entry& one = m_entries[index];
    one.is_cut = !one.is_cut;
    if (!one.is_cut && one.has_list)
        one.back_at = m_now;
    one.directory.set_source_available(!one.is_cut && one.has_list, m_now);
}

void world::restart(unsigned index)
{
    const unsigned incarnation = m_entries[index].incarnation + 1;
    const bool is_cut = m_entries[index].is_cut;
    m_entries[index] = entry{};
    entry& one = m_entries[index];
    one.incarnation = incarnation;
    one.is_cut = is_cut;
    one.lacks_catalog.set_adoption_time(bound);
    one.lacks_targets.set_adoption_time(bound);
}

bool world::can_talk(unsigned one, unsigned other) const
{
    return one != other && !m_entries[one].is_frozen &&
           !m_entries[other].is_frozen && !m_parted.contains({one, other}) &&
           !m_parted.contains({other, one});
}

// As peer_mesh does with what another entry says that it holds.
void world::ask(unsigned index, unsigned other)
{
    if (!can_talk(index, other))
        return;
    entry& one = m_entries[index];
    const entry& theirs = m_entries[other];
    const catch_up::source_state source{one.directory.is_source_available(),
                                        false};
    one.newest_told = std::max(one.newest_told, theirs.version);
    if (one.version >= one.newest_told)
        one.lacks_catalog.note_up_to_date();
    if (theirs.version > one.version &&
        one.lacks_catalog.should_request(name_of(other), source, m_now))
        m_copies.push_back({other, index, one.incarnation, theirs.version, {}});
    if (theirs.directory.digest() == one.directory.digest())
        one.lacks_targets.note_up_to_date();
    else if (one.lacks_catalog.pending_peer().empty() &&
             one.lacks_targets.should_request(name_of(other), source, m_now) &&
             !theirs.directory.all().empty())
        m_copies.push_back(
            {other, index, one.incarnation, 0, theirs.directory.all()});
}

void world::arrive(const copy& one)
{
    entry& to = m_entries[one.to];
    if (to.incarnation != one.incarnation || !can_talk(one.from, one.to))
        return;
    if (one.targets.empty())
    {
        to.lacks_catalog.note_complete(name_of(one.from), m_now);
        return adopt(to, one.version);
    }
    for (const listed_target& target : one.targets)
    {
        note_told(to, target.incarnation.id, target.revision);
        if (target.address.empty())
        {
            std::uint64_t& gone = to.gone[target.incarnation.id];
            gone = std::max(gone, target.revision);
            to.directory.note_confirmed_removal(target.incarnation.id,
                                                target.revision);
            continue;
        }
        if (target.is_leaving)
            to.left.insert(target.incarnation);
        to.directory.note(target);
    }
    to.lacks_targets.note_complete(name_of(one.from), m_now);
}

void world::break_promise(const std::string& text)
{
    if (!m_broken)
        m_broken = text;
}

} // namespace mangofold::relay

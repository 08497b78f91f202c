#include "simulation.hpp"

#include <algorithm>

namespace mangofold::relay
{

namespace
{

std::string entry_name(unsigned entry)
{
    return "entry-" + std::to_string(entry);
}

std::string target_id(unsigned number)
{
    return "t" + std::to_string(number);
}

} // namespace

std::ostream& operator<<(std::ostream& out, const command& value)
{
    constexpr std::array names{
        "publish",         "register_target", "mark_leaving", "remove_target",
        "write_malformed", "receive_change",  "read_all",     "toggle_source",
        "toggle_link",     "toggle_freeze",   "restart",      "poll_peer",
        "deliver_copy",    "drop_copy",       "wait"};
    return out << names.at(static_cast<std::size_t>(value.what)) << '('
               << value.first << ',' << value.second << ')';
}

simulation::simulation()
{
    for (entry& each : m_entries)
    {
        each.catalog_catch_up.set_adoption_time(adoption_time);
        each.targets_catch_up.set_adoption_time(adoption_time);
    }
    write({0, "", {}, false, m_version});
    for (unsigned index = 0; index < entry_count; ++index)
        read_all(index);
}

void simulation::write(source_change change)
{
    change.revision = ++m_revision;
    if (change.target)
        change.target->revision = m_revision;
    m_changes.push_back(change);
    if (!change.id.empty())
        m_current[change.id] = change;
}

void simulation::execute(const command& step)
{
    using kind = command::kind;
    const unsigned index = step.first % entry_count;
    const unsigned other = step.second % entry_count;
    const std::string id = target_id(step.first % target_count);
    const auto present = m_current.find(id);
    const bool is_listed =
        present != m_current.end() && present->second.target.has_value();
    entry& self = m_entries[index];
    m_now += step_time;
    switch (step.what)
    {
    case kind::publish:
        write({0, "", {}, false, ++m_version});
        break;
    case kind::register_target:
        // The writer of a target's entries can be late: a target that left is
        // listed as serving once more.
        if (is_listed && present->second.target->is_leaving && other == 0)
        {
            listed_target late = *present->second.target;
            late.is_leaving = false;
            write({0, id, late, false, 0});
            break;
        }
        write(
            {0, id,
             listed_target{
                 {id, ++m_last_start_ms}, "s", "10.0.0.1:80", "a", 4, false, 0},
             false, 0});
        break;
    case kind::mark_leaving:
        if (is_listed && !present->second.target->is_leaving)
        {
            listed_target leaving = *present->second.target;
            leaving.is_leaving = true;
            m_all_leaving.insert(leaving.incarnation);
            write({0, id, leaving, false, 0});
        }
        break;
    case kind::remove_target:
        if (is_listed)
            write({0, id, {}, false, 0});
        break;
    case kind::write_malformed:
        if (is_listed)
            write({0, id, {}, true, 0});
        break;
    case kind::receive_change:
        if (!self.is_frozen && !self.is_source_cut)
            receive_change(index);
        break;
    case kind::read_all:
        if (!self.is_frozen && !self.is_source_cut)
            read_all(index);
        break;
    case kind::toggle_source:
        toggle_source(index);
        break;
    case kind::toggle_link:
        if (!m_cut_links.insert({index, other}).second)
            m_cut_links.erase({index, other});
        break;
    case kind::toggle_freeze:
        self.is_frozen = !self.is_frozen;
        break;
    case kind::restart:
        restart(index);
        break;
    case kind::poll_peer:
        poll_peer(index, other);
        break;
    case kind::deliver_copy:
        if (!m_copies.empty())
        {
            const auto at =
                m_copies.begin() +
                static_cast<std::ptrdiff_t>(step.first % m_copies.size());
            const copy arrived = *at;
            m_copies.erase(at);
            deliver(arrived);
        }
        break;
    case kind::drop_copy:
        if (!m_copies.empty())
            m_copies.pop_front();
        break;
    case kind::wait:
        m_now += std::chrono::milliseconds(100 * (step.first % 16));
        break;
    case kind::count:
        break;
    }
    for (entry& each : m_entries)
        if (!each.is_frozen)
            each.directory.expire(m_now);
    check();
}

void simulation::adopt_version(entry& self, std::uint64_t version)
{
    const std::uint64_t before = self.version;
    if (version > self.version)
        self.version = version;
    if (self.version < before)
        report_violation("an entry returned to an older configuration");
}

void simulation::note_seen(entry& self, const std::string& id,
                           std::uint64_t revision)
{
    std::uint64_t& newest = self.newest_seen[id];
    newest = std::max(newest, revision);
}

void simulation::apply(entry& self, const source_change& change)
{
    if (change.id.empty())
        return adopt_version(self, change.version);
    note_seen(self, change.id, change.revision);
    if (change.target)
    {
        if (change.target->is_leaving)
            self.seen_leaving.insert(change.target->incarnation);
        self.directory.note(*change.target);
    }
    else if (change.is_malformed)
    {
        self.removed[change.id] = change.revision;
        self.directory.note_unreadable(change.id, change.revision);
    }
    else
        self.directory.note_removed(change.id, change.revision, m_now);
}

void simulation::receive_change(unsigned index)
{
    entry& self = m_entries[index];
    if (!self.has_read_all)
        return read_all(index);
    for (const source_change& change : m_changes)
    {
        if (change.revision <= self.received_revision)
            continue;
        self.received_revision = change.revision;
        apply(self, change);
        return check(self);
    }
}

void simulation::read_all(unsigned index)
{
    entry& self = m_entries[index];
    std::vector<listed_target> list;
    for (const auto& [id, present] : m_current)
    {
        note_seen(self, id, m_revision);
        if (present.is_malformed)
            self.directory.note_unreadable(id, present.revision);
        if (!present.target)
            continue;
        list.push_back(*present.target);
        if (present.target->is_leaving)
            self.seen_leaving.insert(present.target->incarnation);
    }
    self.directory.note_full_list(list, m_revision, m_now);
    for (const listed_target& target : list)
        self.newest_seen[target.incarnation.id] = target.revision;
    if (!self.directory.is_source_available())
        self.source_back_at = m_now;
    self.directory.set_source_available(true, m_now);
    self.received_revision = m_revision;
    self.has_read_all = true;
    adopt_version(self, m_version);
}

void simulation::toggle_source(unsigned index)
{
    entry& self = m_entries[index];
    self.is_source_cut = !self.is_source_cut;
    if (!self.is_source_cut && self.has_read_all)
        self.source_back_at = m_now;
    self.directory.set_source_available(
        !self.is_source_cut && self.has_read_all, m_now);
}

void simulation::restart(unsigned index)
{
    const unsigned incarnation = m_entries[index].incarnation + 1;
    const bool is_source_cut = m_entries[index].is_source_cut;
    m_entries[index] = entry{};
    entry& self = m_entries[index];
    self.incarnation = incarnation;
    self.is_source_cut = is_source_cut;
    self.catalog_catch_up.set_adoption_time(adoption_time);
    self.targets_catch_up.set_adoption_time(adoption_time);
}

bool simulation::is_link_up(unsigned index, unsigned other) const
{
    return index != other && !m_entries[index].is_frozen &&
           !m_entries[other].is_frozen &&
           !m_cut_links.contains({index, other}) &&
           !m_cut_links.contains({other, index});
}

// Mirrors how peer_mesh handles a peer's report of its state.
void simulation::poll_peer(unsigned index, unsigned other)
{
    if (!is_link_up(index, other))
        return;
    entry& self = m_entries[index];
    const entry& theirs = m_entries[other];
    const catch_up::source_state source{self.directory.is_source_available(),
                                        false};
    self.newest_offered_version =
        std::max(self.newest_offered_version, theirs.version);
    if (self.version >= self.newest_offered_version)
        self.catalog_catch_up.note_up_to_date();
    if (theirs.version > self.version &&
        self.catalog_catch_up.should_request(entry_name(other), source, m_now))
        m_copies.push_back(
            {other, index, self.incarnation, theirs.version, {}});
    if (theirs.directory.digest() == self.directory.digest())
        self.targets_catch_up.note_up_to_date();
    else if (self.catalog_catch_up.pending_peer().empty() &&
             self.targets_catch_up.should_request(entry_name(other), source,
                                                  m_now) &&
             !theirs.directory.all().empty())
        m_copies.push_back(
            {other, index, self.incarnation, 0, theirs.directory.all()});
}

void simulation::deliver(const copy& delivered)
{
    entry& to = m_entries[delivered.to];
    if (to.incarnation != delivered.incarnation ||
        !is_link_up(delivered.from, delivered.to))
        return;
    if (delivered.targets.empty())
    {
        to.catalog_catch_up.note_complete(entry_name(delivered.from), m_now);
        return adopt_version(to, delivered.version);
    }
    for (const listed_target& target : delivered.targets)
    {
        note_seen(to, target.incarnation.id, target.revision);
        if (target.address.empty())
        {
            std::uint64_t& removed = to.removed[target.incarnation.id];
            removed = std::max(removed, target.revision);
            to.directory.note_confirmed_removal(target.incarnation.id,
                                                target.revision);
            continue;
        }
        if (target.is_leaving)
            to.seen_leaving.insert(target.incarnation);
        to.directory.note(target);
    }
    to.targets_catch_up.note_complete(entry_name(delivered.from), m_now);
}

void simulation::report_violation(const std::string& text)
{
    if (!m_violation)
        m_violation = text;
}

} // namespace mangofold::relay

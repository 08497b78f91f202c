#include "decision/target_ends.hpp"

#include "decision/election.hpp"

#include <algorithm>
#include <set>

namespace mangofold::decision
{

namespace
{

/// What is nearly forgotten is not told any more, or entries that noticed an
/// end at different moments would keep reminding each other of it.
constexpr duration untold_time = std::chrono::minutes(1);

/// A run counts as begun this long before its end at most. Before, it stood in
/// its target's queue: what ends a target does so soon after it has begun.
/// Targets that all end at one moment are then one occasion, however many
/// copies of a request they ran, and ends further apart are not.
constexpr duration longest_run = std::chrono::milliseconds(500);

/// How much longer a run must have taken to be told as news.
constexpr duration run_step = std::chrono::milliseconds(1);

/// Bytes that a target sent before it ended can be read later than its end is
/// noticed, on another connection: by a turn of a loop that is behind.
constexpr duration late_bytes = std::chrono::milliseconds(250);

/// The part that is forgotten at once where there are too many.
constexpr std::size_t forgotten_part = 8;

/// Occasions that make a request a suspect: one may be chance.
constexpr std::size_t suspect_ends = 2;

/// Adds \a one, which is no older than what was added before: as an occasion
/// of its own, unless it began before the newest one had ended its target.
void add_to(std::vector<target_ends::occasion>& occasions,
            const target_end& one, bool is_shared)
{
    if (occasions.empty() || one.began >= occasions.back().ended)
        occasions.push_back({one.began, one.ended, is_shared});
    else if (!is_shared)
        occasions.back().is_shared = false;
}

std::size_t count_of_occasions(const std::vector<const target_end*>& ends)
{
    std::vector<target_ends::occasion> occasions;
    for (const target_end* one : ends)
        if (!one->is_claim)
            add_to(occasions, *one, true);
    return occasions.size();
}

/// Returns how long the run of \a one took, as far as that counts.
duration counted_time(const target_end& one)
{
    return std::min(one.ended - one.began, longest_run);
}

duration::rep steps_of(const target_end& one)
{
    return counted_time(one) / run_step;
}

std::uint64_t rank_of(const target_end& one)
{
    return election_rank(to_text(one.content) + one.target.id,
                         std::to_string(one.target.started_ms) + " " +
                             std::to_string(steps_of(one)) +
                             (one.is_refuted ? " refuted" : ""));
}

} // namespace

void target_ends::add(const target_end& one)
{
    m_by_change[++m_changes] = one;
    if (!one.is_claim)
        m_newest = std::max(m_newest, one.ended);
    m_by_content[one.content][one.target] = m_changes;
    m_by_target[one.target].contents.insert(one.content);
    m_summary += rank_of(one);
}

void target_ends::remove(std::uint64_t change)
{
    const auto found = m_by_change.find(change);
    const target_end one = found->second;
    m_by_change.erase(found);
    m_summary -= rank_of(one);
    by_target& same = m_by_content[one.content];
    same.erase(one.target);
    if (same.empty())
        m_by_content.erase(one.content);
    auto& there = m_by_target[one.target].contents;
    there.erase(one.content);
    if (there.empty())
        m_by_target.erase(one.target);
}

// Told again as news, so that it overtakes what was told before.
void target_ends::replace(std::uint64_t change, const target_end& one)
{
    const instant alive_at = m_by_target[one.target].alive_at;
    remove(change);
    add(one);
    m_by_target[one.target].alive_at = alive_at;
}

// Copies of a request at one target are lost at several entries at once. The
// one that had been there longest counts at all of them: by different copies
// they would count different occasions, and some send on what others hold.
bool target_ends::merge(std::uint64_t change, const target_end& other)
{
    target_end one = m_by_change.at(change);
    const bool is_longer = steps_of(other) > steps_of(one);
    const bool is_refuted = one.is_refuted || other.is_refuted;
    if (!is_longer && is_refuted == one.is_refuted)
        return false;
    if (is_longer)
        one.began = one.ended - counted_time(other);
    one.is_refuted = is_refuted;
    replace(change, one);
    return true;
}

bool target_ends::refute(std::uint64_t change)
{
    target_end one = m_by_change.at(change);
    one.is_refuted = true;
    return merge(change, one);
}

bool target_ends::note(const target_end& one, instant now)
{
    if (now >= one.ended + lifetime)
        return false;
    const auto content = m_by_content.find(one.content);
    if (content != m_by_content.end())
    {
        const auto known = content->second.find(one.target);
        if (known != content->second.end())
            return merge(known->second, one);
    }
    // Taken again, what was forgotten would push out what is newer.
    else if (one.ended <= m_forgotten)
        return false;
    target_end shortened = one;
    shortened.began = one.ended - counted_time(one);
    add(shortened);
    if (m_by_change.size() > most)
        make_room();
    return true;
}

// Requests under which one target ended are many, mostly those that were there
// by chance; those under which more did are what must not be forgotten. All
// entries forget about the same ones, the oldest.
void target_ends::make_room()
{
    std::vector<std::pair<std::pair<bool, instant>, std::uint64_t>> order;
    for (const auto& [change, one] : m_by_change)
        order.push_back(
            {{m_by_content[one.content].size() > 1, one.ended}, change});
    std::sort(order.begin(), order.end());
    order.resize(most / forgotten_part);
    for (const auto& [key, change] : order)
    {
        if (!key.first)
            m_forgotten = std::max(m_forgotten, key.second);
        remove(change);
    }
}

std::size_t target_ends::note_survived(const digest& content)
{
    const auto found = m_by_content.find(content);
    if (found == m_by_content.end())
        return 0;
    std::vector<std::uint64_t> changes;
    for (const auto& [target, change] : found->second)
        changes.push_back(change);
    return static_cast<std::size_t>(
        std::count_if(changes.begin(), changes.end(),
                      [this](std::uint64_t one) { return refute(one); }));
}

std::size_t target_ends::note_alive(const target_incarnation& target,
                                    instant opened, instant now)
{
    const auto found = m_by_target.find(target);
    if (found == m_by_target.end())
        return 0;
    found->second.alive_at = now;
    std::vector<std::uint64_t> changes;
    for (const digest& content : found->second.contents)
    {
        const std::uint64_t change = m_by_content[content][target];
        const instant ended = m_by_change[change].ended;
        if (opened < ended && now >= ended + late_bytes)
            changes.push_back(change);
    }
    return static_cast<std::size_t>(
        std::count_if(changes.begin(), changes.end(),
                      [this](std::uint64_t one) { return refute(one); }));
}

bool target_ends::has_ended(const target_incarnation& target,
                            instant then) const
{
    const auto found = m_by_target.find(target);
    if (found == m_by_target.end())
        return false;
    const suspects& known = found->second;
    return std::any_of(known.contents.begin(), known.contents.end(),
                       [&](const digest& content)
                       {
                           const target_end& one = m_by_change.at(
                               m_by_content.at(content).at(target));
                           return !one.is_refuted && one.ended < then &&
                                  one.ended >= known.alive_at;
                       });
}

std::vector<const target_end*>
target_ends::unrefuted(const digest& content) const
{
    std::vector<const target_end*> ends;
    const auto found = m_by_content.find(content);
    if (found == m_by_content.end())
        return ends;
    for (const auto& [target, change] : found->second)
        if (const target_end& one = m_by_change.at(change); !one.is_refuted)
            ends.push_back(&one);
    std::sort(ends.begin(), ends.end(),
              [](const target_end* left, const target_end* right)
              { return left->ended < right->ended; });
    return ends;
}

bool target_ends::is_shared(const target_end& one) const
{
    const auto& there = m_by_target.at(one.target).contents;
    return std::any_of(
        there.begin(), there.end(),
        [&](const digest& other)
        {
            const by_target& ends = m_by_content.at(other);
            return other != one.content && ends.size() >= suspect_ends &&
                   !m_by_change.at(ends.at(one.target)).is_refuted &&
                   count_of_occasions(unrefuted(other)) >= suspect_ends;
        });
}

std::size_t target_ends::finding::shared() const
{
    return static_cast<std::size_t>(
        std::count_if(occasions.begin(), occasions.end(),
                      [](const occasion& one) { return one.is_shared; }));
}

target_ends::finding target_ends::against(const digest& content) const
{
    finding made;
    for (const target_end* one : unrefuted(content))
    {
        if (one->is_claim)
        {
            made.claims.push_back({one->target.id, one->ended});
            continue;
        }
        add_to(made.occasions, *one, is_shared(*one));
        made.targets.push_back(one->target);
        made.last = one->ended;
        made.claims.clear();
    }
    return made;
}

std::vector<digest> target_ends::claimed_since(instant then) const
{
    std::set<digest> found;
    for (const auto& [change, one] : m_by_change)
        if (one.is_claim && !one.is_refuted && one.ended > then)
            found.insert(one.content);
    return {found.begin(), found.end()};
}

std::size_t target_ends::contents_with(std::size_t ends) const
{
    return static_cast<std::size_t>(std::count_if(
        m_by_content.begin(), m_by_content.end(),
        [&](const auto& one)
        {
            return one.second.size() >= ends &&
                   count_of_occasions(unrefuted(one.first)) >= ends;
        }));
}

std::vector<target_end> target_ends::since(std::uint64_t& told,
                                           std::size_t count, instant now) const
{
    std::vector<target_end> news;
    for (auto one = m_by_change.upper_bound(told);
         one != m_by_change.end() && news.size() < count; ++one)
    {
        told = one->first;
        if (now < one->second.ended + lifetime - untold_time)
            news.push_back(one->second);
    }
    return news;
}

void target_ends::expire(instant now)
{
    std::vector<std::uint64_t> old;
    for (const auto& [change, one] : m_by_change)
        if (now >= one.ended + lifetime)
            old.push_back(change);
    for (const std::uint64_t one : old)
        remove(one);
}

} // namespace mangofold::decision

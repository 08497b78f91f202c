#pragma once

#include "decision/catch_up.hpp"
#include "decision/target_directory.hpp"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace mangofold::relay
{

using namespace decision;

/// One move of the operator, a target, the network or a fault.
struct command
{
    enum class kind
    {
        publish, ///< A new configuration; it takes a key away.
        list,    ///< A target registers, or starts again under its id.
        leave,   ///< A target says that it leaves.
        remove,  ///< A target's entry is removed.
        spoil,   ///< Somebody writes what names no target.
        hear,    ///< An entry hears the source's next change.
        read,    ///< An entry reads all again.
        cut,     ///< An entry loses the source, or gets it back.
        part,    ///< Two entries lose each other, or find each other.
        freeze,  ///< An entry stands still, or goes on.
        restart, ///< An entry starts again and knows nothing.
        ask,     ///< An entry hears what another one holds.
        copy,    ///< A copy that is under way arrives.
        lose,    ///< A copy that is under way is lost without a word.
        wait,    ///< Time passes.
        count
    };

    kind what = kind::wait;
    unsigned first = 0;
    unsigned second = 0;
};

std::ostream& operator<<(std::ostream& out, const command& value);

/// The time in which a configuration must be in force.
constexpr duration bound = std::chrono::seconds(2);

/// What each move takes; what is over is looked for after each.
constexpr duration move_time = std::chrono::milliseconds(20);

/// A source, three entries that hear of its changes and from each other, and
/// targets that come and go, around the real directory and catch_up. Copies
/// are snapshots from when they were asked for and arrive in any order.
class world
{
public:
    world();

    /// Carries \a move out; one that is not possible now does nothing.
    void carry_out(const command& move);

    /// Makes one way to the source whole, gives all the bound, and checks that
    /// all have what is published.
    void settle();

    /// Returns the broken promise, or nothing.
    const std::optional<std::string>& broken() const { return m_broken; }

private:
    static constexpr unsigned entries = 3;
    static constexpr unsigned ids = 3;

    /// What the source holds under one id, from a revision on.
    struct writing
    {
        std::uint64_t revision = 0;
        std::string id;
        std::optional<listed_target> target; ///< Nothing: removed, or bad.
        bool is_bad = false;
        std::uint64_t version = 0; ///< Of a configuration, not a target.
    };

    struct entry
    {
        target_directory directory;
        std::uint64_t version = 0;
        std::uint64_t newest_told = 0;
        catch_up lacks_catalog;
        catch_up lacks_targets;
        std::uint64_t heard = 0; ///< The source's revision.
        bool has_list = false;
        bool is_cut = false;
        bool is_frozen = false;
        instant back_at{};                         ///< The source.
        std::map<std::string, std::uint64_t> told; ///< By id, newest revision.
        std::map<std::string, std::uint64_t> gone; ///< For good, by id.
        std::set<target_incarnation> left; ///< Starts that it knew to leave.
        unsigned incarnation = 0;
    };

    struct copy
    {
        unsigned from = 0;
        unsigned to = 0;
        unsigned incarnation = 0; ///< Of whoever asked.
        std::uint64_t version = 0;
        std::vector<listed_target> targets; ///< Empty: a configuration.
    };

    void write(writing one);
    void hear(unsigned index);
    void read_all(unsigned index);
    void cut(unsigned index);
    void restart(unsigned index);
    void ask(unsigned index, unsigned other);
    void arrive(const copy& one);
    void adopt(entry& one, std::uint64_t version);
    void take(entry& one, const writing& change);
    void note_told(entry& one, const std::string& id, std::uint64_t revision);
    bool can_talk(unsigned one, unsigned other) const;
    void check();
    void check(const entry& one);
    void check_serving(const entry& one, const listed_target& target);
    void break_promise(const std::string& text);

    instant m_now{std::chrono::hours(1)};
    std::uint64_t m_revision = 1;
    std::uint64_t m_version = 1;
    std::uint64_t m_born = 100;
    std::vector<writing> m_writings;
    std::map<std::string, writing> m_present;
    std::set<target_incarnation> m_ever_left;
    std::array<entry, entries> m_entries;
    std::set<std::pair<unsigned, unsigned>> m_parted;
    std::deque<copy> m_copies;
    std::optional<std::string> m_broken;
};

} // namespace mangofold::relay

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

/// A random step of a history: an action of the operator, a target, an entry or
/// the network, or a fault.
struct command
{
    enum class kind
    {
        publish,         ///< Publishes a configuration that revokes a key.
        register_target, ///< A target registers, or restarts under its id.
        mark_leaving,    ///< A target announces that it is leaving.
        remove_target,   ///< The source removes a target's entry.
        write_malformed, ///< A writer replaces an entry by a malformed one.
        receive_change,  ///< An entry receives the source's next change.
        read_all,        ///< An entry reads the full state of the source.
        toggle_source,   ///< Cuts an entry off from the source, or reconnects.
        toggle_link,     ///< Cuts the link between two entries, or restores it.
        toggle_freeze,   ///< Freezes an entry's process, or resumes it.
        restart,         ///< An entry restarts without any state.
        poll_peer,       ///< An entry learns which state another one has.
        deliver_copy,    ///< A pending copy arrives.
        drop_copy,       ///< A pending copy is lost without an error.
        wait,            ///< Time passes.
        count
    };

    kind what = kind::wait;
    unsigned first = 0;
    unsigned second = 0;
};

std::ostream& operator<<(std::ostream& out, const command& value);

/// The time within which a configuration must be in force.
constexpr duration adoption_time = std::chrono::seconds(2);

/// The duration of each command; expiry and invariants are checked after each.
constexpr duration step_time = std::chrono::milliseconds(20);

/// Simulates a source, targets that come and go, and three entries that receive
/// changes from the source and from each other, around the real
/// target_directory and catch_up. A copy is a snapshot of the time at which it
/// was requested; copies arrive in any order.
class simulation
{
public:
    simulation();

    /// Executes \a step, or nothing if it is not possible now.
    void execute(const command& step);

    /// Connects only the first entry to the source, restores all links, and
    /// checks that all entries have the published state after adoption_time.
    void settle();

    /// Returns the first violated invariant, or nothing.
    const std::optional<std::string>& violation() const { return m_violation; }

private:
    static constexpr unsigned entry_count = 3;
    static constexpr unsigned target_count = 3;

    /// The content of the source under one id as of a revision.
    struct source_change
    {
        std::uint64_t revision = 0;
        std::string id;
        std::optional<listed_target> target; ///< None: removed or malformed.
        bool is_malformed = false;
        /// Of a configuration; 0 for a target.
        std::uint64_t version = 0;
    };

    struct entry
    {
        target_directory directory;
        std::uint64_t version = 0;
        std::uint64_t newest_offered_version = 0;
        catch_up catalog_catch_up;
        catch_up targets_catch_up;
        std::uint64_t received_revision = 0; ///< Of the source.
        bool has_read_all = false;
        bool is_source_cut = false;
        bool is_frozen = false;
        instant source_back_at{};
        /// Newest revision received, by id.
        std::map<std::string, std::uint64_t> newest_seen;
        /// Revision of the newest confirmed removal or malformed entry, by id.
        std::map<std::string, std::uint64_t> removed;
        std::set<target_incarnation> seen_leaving;
        unsigned incarnation = 0;
    };

    struct copy
    {
        unsigned from = 0;
        unsigned to = 0;
        unsigned incarnation = 0; ///< Of the requesting entry.
        std::uint64_t version = 0;
        /// Empty for a copy of the configuration.
        std::vector<listed_target> targets;
    };

    void write(source_change change);
    void receive_change(unsigned index);
    void read_all(unsigned index);
    void toggle_source(unsigned index);
    void restart(unsigned index);
    void poll_peer(unsigned index, unsigned other);
    void deliver(const copy& delivered);
    void adopt_version(entry& self, std::uint64_t version);
    void apply(entry& self, const source_change& change);
    void note_seen(entry& self, const std::string& id, std::uint64_t revision);
    bool is_link_up(unsigned index, unsigned other) const;
    void check();
    void check(const entry& self);
    void check_serving(const entry& self, const listed_target& target);
    void report_violation(const std::string& text);

    instant m_now{std::chrono::hours(1)};
    std::uint64_t m_revision = 1;
    std::uint64_t m_version = 1;
    std::uint64_t m_last_start_ms = 100;
    std::vector<source_change> m_changes;
    std::map<std::string, source_change> m_current;
    /// Incarnations that ever announced that they are leaving.
    std::set<target_incarnation> m_all_leaving;
    std::array<entry, entry_count> m_entries;
    std::set<std::pair<unsigned, unsigned>> m_cut_links;
    std::deque<copy> m_copies;
    std::optional<std::string> m_violation;
};

} // namespace mangofold::relay

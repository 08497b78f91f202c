#pragma once

#include "decision/other_entries.hpp"
#include "decision/quarantine.hpp"
#include "decision/random_source.hpp"
#include "decision/time.hpp"

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mangofold::decision
{

/// The membership view of one entry: which other entries are alive, which entry
/// batches the pieces of which service, and how often to probe each entry.
///
/// Every entry elects the batching entry of a service from its own view;
/// entries with the same view elect the same one, without a coordinator.
class entry_roster
{
public:
    /// \a cores is the processor share of this entry.
    entry_roster(std::string own_address, double cores)
        : m_own_address(std::move(own_address)), m_cores(cores)
    {
    }

    const std::string& own_address() const { return m_own_address; }

    /// Notes that this entry started at \a now and knows only \a seeds.
    void set_started(std::vector<std::string> seeds, instant now);

    /// Whether this entry knows enough of the fleet to elect batching entries.
    bool is_settled(instant now) const;

    /// Notes that this entry was told to stop at \a now.
    void set_stopping(instant now);

    /// Sets whether this entry has a configuration and knows a target. It can
    /// batch for no service without them.
    void set_has_catalog(bool has_catalog);

    /// The status that an entry reports of itself.
    struct entry_status
    {
        double cores = 0;
        bool is_stopping = false;
        bool is_settled = false;
        /// The number of live entries that it knows, itself included.
        std::size_t known_entries = 0;
        bool has_catalog = false; ///< See set_has_catalog.
        duration stopping_for{};  ///< Time since it was told to stop.

        friend bool operator==(const entry_status&,
                               const entry_status&) = default;
    };

    /// Notes that the entry at \a address answered a probe.
    void note_answer(const std::string& address, const entry_status& status,
                     instant now);
    /// Notes that the entry at \a address no longer answers.
    void note_lost(const std::string& address);
    /// Notes that the entry at \a address announced, without being probed, that
    /// it has just been told to stop.
    void note_stopping(const std::string& address, instant now);

    /// Whether most entries stay up for longer than this stopping entry: they
    /// are not stopping, or were told to stop later.
    bool has_remaining_peers() const;

    /// Returns which other entries serve what this stopping entry refuses.
    other_entries others_while_stopping(instant now) const;

    /// Returns by when half of the fleet serves again, if entries do so
    /// \a stop_time after they were told to stop; \a now if half serves.
    instant half_back_at(duration stop_time, instant now) const;

    /// Sets the services whose pieces are batched.
    void set_services(std::vector<std::string> services);

    /// Returns the address of the entry that batches the pieces of \a service.
    const std::string& batching_entry(const std::string& service) const;

    /// Returns the number of live entries, this one included.
    std::size_t size() const { return m_others.size() + 1; }

    /// Returns the addresses of the other live entries that are not stopping.
    std::vector<std::string> remaining_entries() const;

    /// Returns the addresses of some live entries to send to another entry,
    /// this one first unless it is stopping: a few, or many if the other entry
    /// knows less than half of the fleet (\a known_entries).
    std::vector<std::string> sample(std::size_t known_entries,
                                    random_source& random) const;

    /// Returns the position of this entry in an order of all live entries that
    /// depends on \a key, so that no entry is always the first.
    ordinal ordinal_for(const std::string& key) const;

    /// How one entry probes another to find out whether it is alive.
    struct probe_schedule
    {
        duration interval{};
        duration timeout{}; ///< Without an answer for so long, it is lost.

        friend bool operator==(const probe_schedule&,
                               const probe_schedule&) = default;
    };

    /// Returns how to probe the entry at \a address. \a holds_work tells
    /// whether that entry has pieces of this entry's requests.
    probe_schedule probe_schedule_for(const std::string& address,
                                      bool holds_work, instant now) const;

    /// Returns how long an entry that has submitted jobs to another one may be
    /// silent there before it counts as lost, in a fleet of \a entries.
    static duration job_silence_limit(std::size_t entries);

private:
    bool is_discovering(instant now) const;
    duration scaled_short_interval() const;
    void clear_elections() { m_elected.clear(); }
    std::vector<std::pair<std::string, double>> eligible_entries() const;
    /// Returns when a stopping entry, this one or another, was told to stop.
    instant stopping_since(const std::string& address) const;
    /// Whether the entry at \a address was told to stop later than this one.
    bool stops_after_this(const std::string& address) const;
    /// Whether most entries stop, and half of the fleet, told to stop later
    /// than this entry or not at all, takes every request.
    bool does_later_half_take_all(instant now) const;
    /// Removes from stopping \a entries those that were told to stop earlier
    /// than half of them.
    void keep_latest_to_stop(
        std::vector<std::pair<std::string, double>>& entries) const;
    bool is_batching(const std::string& address) const;

    std::string m_own_address;
    double m_cores;
    bool m_is_stopping = false;
    bool m_has_catalog = false;
    instant m_stopping_since{};
    std::map<std::string, entry_status> m_others; ///< The live ones.
    std::map<std::string, instant> m_others_stopping_since;
    /// When the entries that are lost were told to stop.
    std::map<std::string, instant> m_lost_stopping_since;
    std::vector<std::string> m_seeds; ///< Without this entry.
    instant m_started_at{};
    instant m_newest_at{}; ///< When an entry last answered for the first time.
    std::vector<std::string> m_services;
    mutable std::unordered_map<std::string, std::string> m_elected;
};

} // namespace mangofold::decision

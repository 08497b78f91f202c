#pragma once

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

/// The entries of a fleet as one of them sees it: which answer, who gathers
/// the pieces of a service, and how closely each is watched.
class entry_roster
{
public:
    /// \a cores is what this entry may use of the processor.
    entry_roster(std::string own, double cores)
        : m_own(std::move(own)), m_cores(cores)
    {
    }

    const std::string& own() const { return m_own; }

    /// Notes that this entry started at \a now, knowing \a seeds only.
    void set_started(std::vector<std::string> seeds, instant now);

    /// Whether this entry has seen enough of the fleet to say who gathers.
    bool is_settled(instant now) const;

    /// Notes that this entry was told to stop at \a now.
    void set_stopping(instant now);

    /// Sets whether this entry knows the configuration and a target, without
    /// which it can gather nothing.
    void set_has_catalog(bool has_it);

    /// What an entry says of itself.
    struct standing
    {
        double cores = 0;
        bool is_stopping = false;
        bool is_settled = false;
        std::size_t known = 0;    ///< Entries that answer it, itself included.
        bool has_catalog = false; ///< It knows configuration and a target.
        duration stopping_for{};  ///< Since it was told to stop.

        friend bool operator==(const standing&, const standing&) = default;
    };

    /// Notes an answer of the entry at \a address.
    void note_answer(const std::string& address, const standing& said,
                     instant now);
    /// Notes that it answers no more.
    void note_lost(const std::string& address);
    /// Notes that it said, without being asked, that it has just been told
    /// to stop.
    void note_stopping(const std::string& address, instant now);

    /// Whether most entries go on for longer than this one, which is
    /// stopping: they run, or were told to stop later.
    bool is_outlasted() const;

    /// Sets the services whose pieces are gathered.
    void set_services(std::vector<std::string> services);

    /// Returns the entry that gathers the pieces of \a service.
    const std::string& gatherer_of(const std::string& service) const;

    /// Returns the number of entries that answer, this one included.
    std::size_t size() const { return m_others.size() + 1; }

    /// Returns some entries that answer, this one first: a few, or many where
    /// whoever is told knows only \a known.
    std::vector<std::string> some(std::size_t known,
                                  random_source& random) const;

    /// Returns the place of this entry in the order of all for \a matter. Each
    /// matter has an order of its own, so that no entry is always the first.
    seat seat_for(const std::string& matter) const;

    /// How one entry asks another whether it is there.
    struct watch
    {
        duration interval{};
        duration silence{}; ///< After this without an answer it is lost.

        friend bool operator==(const watch&, const watch&) = default;
    };

    /// Returns how to watch the entry at \a address; \a holds_work tells
    /// whether it has pieces of this entry's requests.
    watch watch_of(const std::string& address, bool holds_work,
                   instant now) const;

private:
    bool is_young(instant now) const;
    duration close_interval_of_all() const;
    void forget_elections() { m_elected.clear(); }
    std::vector<std::pair<std::string, double>> able_to_gather() const;
    bool is_gathering(const std::string& address) const;

    std::string m_own;
    double m_cores;
    bool m_is_stopping = false;
    bool m_has_catalog = false;
    instant m_stopping_since{};
    std::map<std::string, standing> m_others;         ///< Those that answer.
    std::map<std::string, instant> m_others_stopping; ///< Since when.
    std::vector<std::string> m_seeds;                 ///< Without this one.
    instant m_started_at{};
    instant m_newest_at{}; ///< An entry answered for the first time.
    std::vector<std::string> m_services;
    mutable std::unordered_map<std::string, std::string> m_elected;
};

} // namespace mangofold::decision

#pragma once

#include "decision/random_source.hpp"
#include "decision/time.hpp"

#include <map>
#include <string>
#include <unordered_map>
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

    /// Notes that this entry is about to end.
    void set_stopping();

    /// Notes an answer of the entry at \a address.
    void note_answer(const std::string& address, double cores,
                     bool is_stopping);
    /// Notes that it answers no more.
    void note_lost(const std::string& address);

    /// Sets the services whose pieces are gathered.
    void set_services(std::vector<std::string> services);

    /// Returns the entry that gathers the pieces of \a service.
    const std::string& gatherer_of(const std::string& service) const;

    /// Returns the number of entries that answer, this one included.
    std::size_t size() const { return m_others.size() + 1; }

    /// Returns some entries that answer, this one first; at most \a most.
    std::vector<std::string> some(std::size_t most,
                                  random_source& random) const;

    /// How one entry asks another whether it is there.
    struct watch
    {
        duration interval{};
        duration silence{}; ///< After this without an answer it is lost.

        friend bool operator==(const watch&, const watch&) = default;
    };

    /// Returns how to watch the entry at \a address; \a holds_work tells
    /// whether it has pieces of this entry's requests.
    watch watch_of(const std::string& address, bool holds_work) const;

private:
    struct other
    {
        double cores = 0;
        bool is_stopping = false;

        friend bool operator==(const other&, const other&) = default;
    };

    void forget_elections() { m_elected.clear(); }
    bool is_gathering(const std::string& address) const;

    std::string m_own;
    double m_cores;
    bool m_is_stopping = false;
    std::map<std::string, other> m_others; ///< Those that answer.
    std::vector<std::string> m_services;
    mutable std::unordered_map<std::string, std::string> m_elected;
};

} // namespace mangofold::decision

#pragma once

#include "decision/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// Which record keepers respond. A keeper is a process beside a target; it is
/// reached by datagrams, and nothing lists it: whether one runs beside a target
/// shows only when it responds.
class keeper_roster
{
public:
    /// How long a message may go without a reply until it is sent again.
    static constexpr duration reply_time = std::chrono::milliseconds(100);

    /// How often a message is sent before its receiver counts as silent.
    static constexpr int max_sends = 3;

    /// How long a silent keeper is passed over: at first, and at most.
    static constexpr duration first_rest = std::chrono::seconds(1);
    static constexpr duration longest_rest = std::chrono::seconds(15);

    /// Sets the addresses at which keepers may run.
    void set_listed(const std::set<std::string>& addresses);

    /// How long a keeper may go unheard until it is probed, since it may have
    /// started again.
    static constexpr duration probe_age = std::chrono::seconds(2);

    /// Returns the keepers to place copies at, in order: those listed, but for
    /// the silent ones.
    std::vector<std::string> candidates(instant now) const;

    /// Returns those among them that have responded.
    std::set<std::string> confirmed(instant now) const;

    /// Returns the confirmed keeper to probe next, or nothing.
    std::optional<std::string> next_probe(instant now) const;

    /// Whether \a address is listed.
    bool is_listed(const std::string& address) const
    {
        return m_keepers.contains(address);
    }

    /// Whether the keeper at \a address has ever replied.
    bool has_replied(const std::string& address) const
    {
        const auto found = m_keepers.find(address);
        return found != m_keepers.end() && found->second.born;
    }

    /// Notes that the message \a number, which calls for a reply, was sent.
    void note_sent(const std::string& address, std::uint64_t number,
                   instant now);

    /// Notes a reply to the message \a number of the keeper at \a address that
    /// identifies its process by \a born. Returns whether another process ran
    /// there before, whose records are lost.
    bool note_reply(const std::string& address, std::uint64_t number,
                    std::uint64_t born, instant now);

    /// What became of the messages without a reply.
    struct overdue_messages
    {
        std::vector<std::uint64_t> to_resend;
        std::vector<std::uint64_t> given_up;
        std::set<std::string> silent; ///< Keepers that became so.
    };

    /// Returns the messages that were sent long enough ago; those to resend
    /// count as sent \a now.
    overdue_messages take_overdue(instant now);

    std::size_t size() const { return m_keepers.size(); }

private:
    struct keeper
    {
        bool is_silent(instant now) const
        {
            return silent_until && *silent_until > now;
        }

        std::optional<std::uint64_t> born;
        instant used_at{}; ///< Last message or reply.
        std::optional<instant> silent_until;
        duration rest = first_rest; ///< The next time that it is silent.
    };

    struct message
    {
        std::string to;
        instant sent_at{};
        int sends = 1;
    };

    std::map<std::string, keeper> m_keepers;
    std::map<std::uint64_t, message>
        m_messages; ///< Without a reply, by number.
};

} // namespace mangofold::decision

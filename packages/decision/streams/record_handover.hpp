#pragma once

#include "decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// A record keeper that may receive the records of one that stops.
struct successor_candidate
{
    std::string address;
    /// Of the newest target beside it: its start as Unix time, 0 if it is not
    /// known, and the revision of the list that described it last.
    std::uint64_t started_ms = 0;
    std::uint64_t revision = 0;

    friend bool operator==(const successor_candidate&,
                           const successor_candidate&) = default;
};

/// Returns the record keepers to which the one at \a keeper is to hand on its
/// records, the best first: a few of those that started last, since a release
/// stops the older ones.
std::vector<std::string>
successors_of(const std::string& keeper,
              std::vector<successor_candidate> candidates);

/// How a record keeper that stops hands on its records: in parts, each of which
/// is sent to two other keepers until they reply.
class record_handover
{
public:
    /// Most successors that a keeper is named.
    static constexpr std::size_t max_successors = 4;

    /// How many of them are to get the records.
    static constexpr std::size_t receivers = 2;

    /// How long a part may go without a reply until it is sent again, and how
    /// often it is sent before the next successor takes the receiver's place.
    static constexpr duration reply_time = std::chrono::milliseconds(60);
    static constexpr int max_sends = 2;

    /// Most parts without a reply for each receiver: more would overflow the
    /// receiver's socket.
    static constexpr std::size_t max_parts_on_way = 16;

    /// After how long a keeper stops, whatever is confirmed.
    static constexpr duration time_limit = std::chrono::milliseconds(500);

    record_handover(const std::vector<std::string>& successors,
                    std::size_t parts, instant now);

    struct message
    {
        std::uint64_t number = 0; ///< Unique in the handover.
        std::string to;
        std::size_t part = 0;

        friend bool operator==(const message&, const message&) = default;
    };

    /// Returns the parts to send now; they count as sent.
    std::vector<message> take_due(instant now);

    /// Notes that the keeper at \a address has kept what the message \a number
    /// held.
    void note_reply(const std::string& address, std::uint64_t number);

    /// Whether all is confirmed, or nothing more can be done.
    bool is_done(instant now) const;

    /// Returns the successors that have confirmed all records.
    std::vector<std::string> confirmed() const;

    /// Returns the successors that did not reply.
    std::vector<std::string> silent() const;

private:
    struct part_state
    {
        instant sent_at{};
        int sends = 0;
        bool is_confirmed = false;
    };

    struct successor
    {
        std::string address;
        std::vector<part_state> parts;
        bool is_silent = false;

        bool has_all() const;
    };

    void send_parts(std::size_t index, instant now,
                    std::vector<message>& messages);

    std::vector<successor> m_successors;
    std::size_t m_parts;
    instant m_started_at;
};

} // namespace mangofold::decision

#pragma once

#include "decision/streams/copy_placement.hpp"
#include "decision/streams/origin_records.hpp"
#include "decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// Which record keepers one entry reads, so that their records have an owner
/// after the loss of the entries that placed them, and how far it has read
/// each.
///
/// Each keeper is read by the entry that comes first for it. If entries
/// disagree about which one that is, each of them reads it; records are
/// immutable, so that duplicates are merged.
class record_adoption
{
public:
    /// How long a question may go without a reply until it is asked again.
    static constexpr duration reply_time = std::chrono::milliseconds(100);

    /// How often a question is asked after so little time. A keeper that does
    /// not know the question never replies.
    static constexpr int max_quick_questions = 3;

    /// How often a keeper is asked for what is new; less often if this entry
    /// reads many.
    static constexpr duration interval = std::chrono::seconds(1);

    /// What reading and placing records may add to an entry's traffic. Each has
    /// a part of its own, or one would leave nothing to the other.
    static constexpr std::int64_t reading_bytes_per_second = 8'000;
    static constexpr std::int64_t placing_bytes_per_second = 4'000;

    /// Most of the part for reading that questions for what is new may take.
    static constexpr std::int64_t max_idle_share = 4; ///< Divisor.

    /// Sizes with all headers: of a question and a reply without records, of a
    /// record in a reply, and of the copies of one record and their replies.
    static constexpr std::int64_t question_bytes = 200;
    static constexpr std::int64_t record_bytes = 70;
    static constexpr std::int64_t placement_bytes = 310;

    /// Sets this entry's address, the other entries that keep records, and the
    /// record keepers that may respond.
    void set_processes(const std::string& own, std::vector<std::string> others,
                       std::vector<std::string> keepers);

    struct question
    {
        std::string keeper;
        std::uint64_t after = 0; ///< The last change that was read.

        friend bool operator==(const question&, const question&) = default;
    };

    /// Returns the questions to ask now; they count as asked.
    std::vector<question> take_due(instant now);

    /// Notes a reply of the keeper at \a address that holds \a count records.
    /// \a born identifies its process, and \a next the last change in it.
    void note_reply(const std::string& address, std::uint64_t born,
                    std::uint64_t next, std::size_t count, instant now);

    /// Notes that the copies of a record are to be placed.
    void note_unplaced(const stream_key& key) { m_unplaced.insert(key); }

    /// Whether the copies of a record are still to be placed.
    bool is_unplaced(const stream_key& key) const
    {
        return m_unplaced.contains(key);
    }

    /// Forgets the records to place for which \a is_known returns false.
    template<typename Predicate>
    void retain_unplaced(Predicate is_known)
    {
        std::erase_if(m_unplaced, [&is_known](const stream_key& key)
                      { return !is_known(key); });
    }

    /// Returns the number of such records.
    std::size_t unplaced() const { return m_unplaced.size(); }

    /// Returns the records whose copies are to be placed now.
    std::vector<stream_key> take_unplaced(instant now);

    /// Returns the keepers that this entry reads.
    const std::set<std::string>& keepers() const { return m_own; }

private:
    struct keeper
    {
        std::optional<std::uint64_t> born;
        std::uint64_t after = 0;
        instant due_at{};
        int unanswered = 0;
    };

    void refill(instant now);
    duration poll_interval() const;

    std::string m_address;
    std::vector<std::string> m_others;
    std::vector<std::string> m_candidates;
    std::map<std::string, keeper> m_keepers; ///< That were read.
    std::set<std::string> m_own;
    std::set<stream_key> m_unplaced;
    std::int64_t m_reading_budget = reading_bytes_per_second;
    std::int64_t m_placing_budget = placing_bytes_per_second;
    std::optional<instant> m_refilled_at;
};

} // namespace mangofold::decision

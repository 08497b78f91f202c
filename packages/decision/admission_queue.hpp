#pragma once

#include "decision/reason.hpp"
#include "decision/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// What the queue needs to know of a piece of work.
struct queued_work
{
    std::uint64_t id = 0;
    work_class priority = work_class::standard;
    std::string account;
    std::uint32_t weight = 1;
    instant expires{};

    friend bool operator==(const queued_work&, const queued_work&) = default;
};

/// How many runs of a target each class may hold.
struct class_shares
{
    std::size_t bulk_reserve = 0;     ///< Slots that bulk work never holds.
    std::size_t standard_reserve = 0; ///< Slots that neither bulk nor
                                      ///< standard work holds.
    std::size_t max_queued = 512;     ///< Queued work of each class.

    /// Returns the slots that work of class \a priority never holds.
    std::size_t reserve_for(work_class priority) const
    {
        if (priority == work_class::bulk)
            return bulk_reserve;
        return priority == work_class::standard ? standard_reserve : 0;
    }

    friend bool operator==(const class_shares&, const class_shares&) = default;
};

/// Work that waits for a slot of a target: by class, and within a class by
/// weighted fair shares of the client accounts.
class admission_queue
{
public:
    explicit admission_queue(class_shares shares) : m_shares(shares) {}

    void set_shares(class_shares shares) { m_shares = shares; }

    /// Queues \a work, or returns why not. \a limit and \a service estimate
    /// whether the rest of its time can suffice.
    reason push(const queued_work& work, instant now, std::size_t limit,
                duration service);

    /// Takes the next work that may start, given the runs in progress.
    std::optional<queued_work> pop(instant now, std::size_t limit);

    /// Notes that a run of class \a priority started or ended.
    void run_started(work_class priority) { ++running_of(priority); }
    void run_ended(work_class priority) { --running_of(priority); }

    /// Takes out the work whose time is over.
    std::vector<queued_work> take_expired(instant now);

    /// Takes out all work.
    std::vector<queued_work> take_all();

    /// Removes the work numbered \a id. Returns whether it was queued.
    bool remove(std::uint64_t id);

    std::size_t size() const;
    std::size_t size(work_class priority) const
    {
        return lane_of(priority).queue.size();
    }
    std::size_t running() const;

    /// Returns the expected wait of new work of class \a priority.
    duration expected_wait(work_class priority, std::size_t limit,
                           duration service) const;

private:
    struct waiting
    {
        queued_work work;
        double start_tag; ///< Virtual time at which its share comes up.
    };

    struct lane
    {
        std::vector<waiting> queue; ///< Sorted by start tag, stable.
        std::map<std::string, double> finish_tags;
        double virtual_time = 0;
        std::size_t running = 0;
        /// When work was last taken out while more was waiting.
        std::optional<instant> last_taken;
        duration interval{}; ///< Moving average between two such moments.
    };

    lane& lane_of(work_class priority)
    {
        return m_lanes[static_cast<std::size_t>(priority)];
    }
    const lane& lane_of(work_class priority) const
    {
        return m_lanes[static_cast<std::size_t>(priority)];
    }
    std::size_t& running_of(work_class priority)
    {
        return lane_of(priority).running;
    }
    std::size_t capacity_of(work_class priority, std::size_t limit) const;
    bool has_slot(work_class priority, std::size_t limit) const;
    static void note_taken(lane& own, instant now);

    class_shares m_shares;
    std::array<lane, work_class_count> m_lanes;
};

} // namespace mangofold::decision

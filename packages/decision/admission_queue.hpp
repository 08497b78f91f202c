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

/// The attributes of a run by which it is queued and scheduled.
struct queued_work
{
    std::uint64_t id = 0;
    work_class priority = work_class::standard;
    std::string account;
    std::uint32_t weight = 1;
    instant deadline{};

    friend bool operator==(const queued_work&, const queued_work&) = default;
};

/// Limits on the slots and the queue space of a target for each class.
struct class_limits
{
    std::size_t bulk_reserve = 0;     ///< Slots closed to bulk work.
    std::size_t standard_reserve = 0; ///< Slots closed to bulk and
                                      ///< standard work.
    std::size_t max_queued = 512;     ///< Limit per class.

    /// Returns the number of slots closed to class \a priority.
    std::size_t reserve_for(work_class priority) const
    {
        if (priority == work_class::bulk)
            return bulk_reserve;
        return priority == work_class::standard ? standard_reserve : 0;
    }

    friend bool operator==(const class_limits&, const class_limits&) = default;
};

/// Queues work until a slot of its target is free. Classes have strict
/// priority; within a class, weighted fair queuing divides the slots among the
/// client accounts.
class admission_queue
{
public:
    explicit admission_queue(class_limits limits) : m_class_limits(limits) {}

    void set_class_limits(class_limits limits) { m_class_limits = limits; }

    /// Queues \a work. Returns reason::none, or the reason for a refusal: the
    /// queue is full, or by the concurrency \a limit and the \a service time
    /// the work would end after its deadline.
    reason push(const queued_work& work, instant now, std::size_t limit,
                duration service);

    /// Removes and returns the next work that has a free slot under \a limit,
    /// or nothing.
    std::optional<queued_work> pop(instant now, std::size_t limit);

    /// Records the start or the end of a run of class \a priority.
    void run_started(work_class priority) { ++running_count(priority); }
    void run_ended(work_class priority) { --running_count(priority); }

    /// Removes and returns the work whose deadline has passed.
    std::vector<queued_work> take_expired(instant now);

    /// Removes and returns all work.
    std::vector<queued_work> take_all();

    /// Removes the work with \a id. Returns whether it was queued.
    bool remove(std::uint64_t id);

    std::size_t size() const;
    std::size_t size(work_class priority) const
    {
        return queue_for(priority).items.size();
    }
    std::size_t running() const;

    /// Returns the expected queuing time of new work of class \a priority.
    duration expected_wait(work_class priority, std::size_t limit,
                           duration service) const;

private:
    struct queued_item
    {
        queued_work work;
        double start_tag; ///< Virtual start time of fair queuing.
    };

    struct class_queue
    {
        std::vector<queued_item> items; ///< Sorted by start tag, stable.
        /// Virtual finish time of the last work of each account.
        std::map<std::string, double> finish_tags;
        double virtual_time = 0;
        std::size_t running = 0;
        /// Time of the last dequeue; unset after one that emptied the queue.
        std::optional<instant> last_dequeued_at;
        duration dequeue_interval{}; ///< Moving average between dequeues.
    };

    class_queue& queue_for(work_class priority)
    {
        return m_queues[static_cast<std::size_t>(priority)];
    }
    const class_queue& queue_for(work_class priority) const
    {
        return m_queues[static_cast<std::size_t>(priority)];
    }
    std::size_t& running_count(work_class priority)
    {
        return queue_for(priority).running;
    }
    std::size_t slots_for(work_class priority, std::size_t limit) const;
    bool has_slot(work_class priority, std::size_t limit) const;
    static void record_dequeue(class_queue& queue, instant now);

    class_limits m_class_limits;
    std::array<class_queue, work_class_count> m_queues;
};

} // namespace mangofold::decision

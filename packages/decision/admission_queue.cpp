#include "decision/admission_queue.hpp"

#include <algorithm>

namespace mangofold::decision
{

reason admission_queue::push(const queued_work& work, instant now,
                             std::size_t limit, duration service)
{
    class_queue& queue = queue_for(work.priority);
    if (queue.items.size() >= m_class_limits.max_queued)
        return reason::queue_full;
    // Work that cannot meet its deadline would only take a slot from work that
    // can. A refusal now spares its caller the wait until the deadline.
    const duration wait = expected_wait(work.priority, limit, service);
    if (now + wait + service > work.deadline)
        return reason::too_late;

    double& finish_tag = queue.finish_tags[work.account];
    const double start_tag = std::max(queue.virtual_time, finish_tag);
    finish_tag = start_tag + 1.0 / std::max<std::uint32_t>(work.weight, 1);
    const auto position =
        std::upper_bound(queue.items.begin(), queue.items.end(), start_tag,
                         [](double tag, const queued_item& item)
                         { return tag < item.start_tag; });
    queue.items.insert(position, queued_item{work, start_tag});
    return reason::none;
}

std::optional<queued_work> admission_queue::pop(instant now, std::size_t limit)
{
    for (std::size_t index = 0; index < m_queues.size(); ++index)
    {
        class_queue& queue = m_queues[index];
        const auto priority = static_cast<work_class>(index);
        if (queue.items.empty() || !has_slot(priority, limit))
            continue;
        const auto next = std::find_if(queue.items.begin(), queue.items.end(),
                                       [&](const queued_item& item)
                                       { return item.work.deadline > now; });
        if (next == queue.items.end())
            continue;
        const queued_work work = next->work;
        queue.virtual_time = std::max(queue.virtual_time, next->start_tag);
        queue.items.erase(next);
        record_dequeue(queue, now);
        if (queue.items.empty())
            queue.finish_tags.clear();
        return work;
    }
    return std::nullopt;
}

std::vector<queued_work> admission_queue::take_expired(instant now)
{
    std::vector<queued_work> expired;
    for (class_queue& queue : m_queues)
    {
        std::erase_if(queue.items,
                      [&](const queued_item& item)
                      {
                          if (item.work.deadline > now)
                              return false;
                          expired.push_back(item.work);
                          return true;
                      });
    }
    return expired;
}

std::vector<queued_work> admission_queue::take_all()
{
    return take_expired(instant::max());
}

bool admission_queue::remove(std::uint64_t id)
{
    for (class_queue& queue : m_queues)
    {
        if (std::erase_if(queue.items, [&](const queued_item& item)
                          { return item.work.id == id; }) > 0)
            return true;
    }
    return false;
}

std::size_t admission_queue::size() const
{
    std::size_t sum = 0;
    for (const class_queue& queue : m_queues)
        sum += queue.items.size();
    return sum;
}

std::size_t admission_queue::running() const
{
    std::size_t sum = 0;
    for (const class_queue& queue : m_queues)
        sum += queue.running;
    return sum;
}

duration admission_queue::expected_wait(work_class priority, std::size_t limit,
                                        duration service) const
{
    const class_queue& queue = queue_for(priority);
    if (queue.items.empty() && has_slot(priority, limit))
        return duration::zero();
    // The measured dequeue interval includes the slots used by more urgent
    // work and other effects that the model below leaves out.
    if (queue.last_dequeued_at && queue.dequeue_interval > duration::zero())
        return queue.dequeue_interval *
               static_cast<duration::rep>(queue.items.size() + 1);
    std::size_t ahead = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(priority);
         ++index)
        ahead += m_queues[index].items.size();
    const std::size_t capacity =
        std::max<std::size_t>(slots_for(priority, limit), 1);
    return service * static_cast<duration::rep>(ahead + 1) /
           static_cast<duration::rep>(capacity);
}

void admission_queue::record_dequeue(class_queue& queue, instant now)
{
    constexpr int averaging_window = 8;
    if (queue.last_dequeued_at)
    {
        const duration sample = now - *queue.last_dequeued_at;
        queue.dequeue_interval =
            queue.dequeue_interval == duration::zero()
                ? sample
                : queue.dequeue_interval +
                      (sample - queue.dequeue_interval) / averaging_window;
    }
    queue.last_dequeued_at = now;
    if (queue.items.empty())
        queue.last_dequeued_at.reset();
}

bool admission_queue::has_slot(work_class priority, std::size_t limit) const
{
    std::size_t running_at_or_below = 0;
    for (std::size_t index = static_cast<std::size_t>(priority);
         index < m_queues.size(); ++index)
        running_at_or_below += m_queues[index].running;
    return running() < limit &&
           running_at_or_below < slots_for(priority, limit);
}

// Running work cannot be preempted. If a burst of long bulk work held every
// slot, short urgent work would wait for a whole bulk run; the reserved slots
// are left to the more urgent classes.
std::size_t admission_queue::slots_for(work_class priority,
                                       std::size_t limit) const
{
    const std::size_t reserve = m_class_limits.reserve_for(priority);
    return limit > reserve ? limit - reserve : 1;
}

} // namespace mangofold::decision

#include "decision/admission_queue.hpp"

#include <algorithm>

namespace mangofold::decision
{

reason admission_queue::push(const queued_work& work, instant now,
                             std::size_t limit, duration service)
{
    lane& own = lane_of(work.priority);
    if (own.queue.size() >= m_shares.max_queued)
        return reason::queue_full;
    // Work that cannot end in time would only take a slot from work that
    // can; its caller learns so now instead of at its deadline.
    const duration wait = expected_wait(work.priority, limit, service);
    if (now + wait + service > work.expires)
        return reason::too_late;

    double& finish_tag = own.finish_tags[work.account];
    const double start_tag = std::max(own.virtual_time, finish_tag);
    finish_tag = start_tag + 1.0 / std::max<std::uint32_t>(work.weight, 1);
    const auto place = std::upper_bound(
        own.queue.begin(), own.queue.end(), start_tag,
        [](double tag, const waiting& one) { return tag < one.start_tag; });
    own.queue.insert(place, waiting{work, start_tag});
    return reason::none;
}

std::optional<queued_work> admission_queue::pop(instant now, std::size_t limit)
{
    for (std::size_t index = 0; index < m_lanes.size(); ++index)
    {
        lane& own = m_lanes[index];
        const auto priority = static_cast<work_class>(index);
        if (own.queue.empty() || !has_slot(priority, limit))
            continue;
        const auto next = std::find_if(own.queue.begin(), own.queue.end(),
                                       [&](const waiting& one)
                                       { return one.work.expires > now; });
        if (next == own.queue.end())
            continue;
        const queued_work work = next->work;
        own.virtual_time = std::max(own.virtual_time, next->start_tag);
        own.queue.erase(next);
        note_taken(own, now);
        if (own.queue.empty())
            own.finish_tags.clear();
        return work;
    }
    return std::nullopt;
}

std::vector<queued_work> admission_queue::take_expired(instant now)
{
    std::vector<queued_work> expired;
    for (lane& own : m_lanes)
    {
        std::erase_if(own.queue,
                      [&](const waiting& one)
                      {
                          if (one.work.expires > now)
                              return false;
                          expired.push_back(one.work);
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
    for (lane& own : m_lanes)
    {
        if (std::erase_if(own.queue, [&](const waiting& one)
                          { return one.work.id == id; }) > 0)
            return true;
    }
    return false;
}

std::size_t admission_queue::size() const
{
    std::size_t sum = 0;
    for (const lane& own : m_lanes)
        sum += own.queue.size();
    return sum;
}

std::size_t admission_queue::running() const
{
    std::size_t sum = 0;
    for (const lane& own : m_lanes)
        sum += own.running;
    return sum;
}

duration admission_queue::expected_wait(work_class priority, std::size_t limit,
                                        duration service) const
{
    const lane& own = lane_of(priority);
    if (own.queue.empty() && has_slot(priority, limit))
        return duration::zero();
    // How fast the class really moves is known where it waited before: it
    // counts what more urgent work takes and what the model leaves out.
    if (own.last_taken && own.interval > duration::zero())
        return own.interval * static_cast<duration::rep>(own.queue.size() + 1);
    std::size_t ahead = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(priority);
         ++index)
        ahead += m_lanes[index].queue.size();
    const std::size_t capacity =
        std::max<std::size_t>(capacity_of(priority, limit), 1);
    return service * static_cast<duration::rep>(ahead + 1) /
           static_cast<duration::rep>(capacity);
}

void admission_queue::note_taken(lane& own, instant now)
{
    constexpr int share = 8;
    if (own.last_taken)
    {
        const duration sample = now - *own.last_taken;
        own.interval = own.interval == duration::zero()
                           ? sample
                           : own.interval + (sample - own.interval) / share;
    }
    own.last_taken = now;
    if (own.queue.empty())
        own.last_taken.reset();
}

bool admission_queue::has_slot(work_class priority, std::size_t limit) const
{
    std::size_t held = 0;
    for (std::size_t index = static_cast<std::size_t>(priority);
         index < m_lanes.size(); ++index)
        held += m_lanes[index].running;
    return running() < limit && held < capacity_of(priority, limit);
}

// Long work may never hold every slot: a burst of it would make a seat hold
// wait for a whole draft, because running work cannot be taken back. What
// it may not hold is for the more urgent classes alone.
std::size_t admission_queue::capacity_of(work_class priority,
                                         std::size_t limit) const
{
    const std::size_t reserve = m_shares.reserve_for(priority);
    return limit > reserve ? limit - reserve : 1;
}

} // namespace mangofold::decision

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
    const std::size_t total = running();
    for (std::size_t index = 0; index < m_lanes.size(); ++index)
    {
        lane& own = m_lanes[index];
        const auto priority = static_cast<work_class>(index);
        if (own.queue.empty() || total >= capacity_of(priority, limit))
            continue;
        const auto next = std::find_if(own.queue.begin(), own.queue.end(),
                                       [&](const waiting& one)
                                       { return one.work.expires > now; });
        if (next == own.queue.end())
            continue;
        const queued_work work = next->work;
        own.virtual_time = std::max(own.virtual_time, next->start_tag);
        own.queue.erase(next);
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
    std::size_t ahead = 0;
    for (std::size_t index = 0; index <= static_cast<std::size_t>(priority);
         ++index)
        ahead += m_lanes[index].queue.size();
    const std::size_t capacity = capacity_of(priority, limit);
    const std::size_t busy = running();
    if (ahead == 0 && busy < capacity)
        return duration::zero();
    const double rounds =
        static_cast<double>(ahead + 1) /
        static_cast<double>(std::max<std::size_t>(capacity, 1));
    return duration(static_cast<duration::rep>(
        rounds * static_cast<double>(service.count())));
}

// Long work may never hold every slot: a burst of it would make a seat hold
// wait for a whole draft. Reserved slots stay free for shorter classes
// because running work cannot be taken back.
std::size_t admission_queue::capacity_of(work_class priority,
                                         std::size_t limit) const
{
    std::size_t reserve = 0;
    if (priority == work_class::standard)
        reserve = m_shares.standard_reserve;
    if (priority == work_class::bulk)
        reserve = m_shares.bulk_reserve;
    return limit > reserve ? limit - reserve : 1;
}

} // namespace mangofold::decision

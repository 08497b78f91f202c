#include "decision/admission/admission_record.hpp"

#include <algorithm>
#include <cmath>

namespace mangofold::decision
{

namespace
{

/// A rank is starved if its share is below the overall share divided by this.
constexpr double min_share_divisor = 4;

double spare_of(double busy_ns)
{
    constexpr double window_ns = 1e9;
    return std::clamp(1 - busy_ns / window_ns,
                      admission_record::min_spare_share, 1.0);
}

} // namespace

void admission_record::note_arrival(const stage_job& job, instant now)
{
    m_arrivals.add(job.urgency, 1, now);
}

void admission_record::note_work_on_time(const std::string& service,
                                         const urgency& rank, duration work,
                                         instant now)
{
    m_work_on_time.add({service, rank}, static_cast<double>(work.count()), now);
}

void admission_record::note_start(const stage_job& job, instant now)
{
    m_starts.add(job.urgency, 1, now);
    m_account_starts.add(job.account, 1, now);
}

double admission_record::spare_share(const std::string& service, instant now)
{
    return spare_share(service, {~0U, ~0U}, now);
}

double admission_record::spare_share(const std::string& service,
                                     const urgency& rank, instant now)
{
    double busy_ns = 0;
    for (const auto& [key, work] : m_work_on_time.sums(now))
        if (key.first == service && key.second <= rank)
            busy_ns += work;
    return spare_of(busy_ns);
}

std::map<std::string, urgency> admission_record::most_urgent(instant now)
{
    std::map<std::string, urgency> found;
    // The keys are ordered by service, then by urgency.
    for (const auto& [key, work] : m_work_on_time.sums(now))
        found.emplace(key.first, key.second);
    return found;
}

std::map<urgency, std::uint32_t> admission_record::starved_ranks(instant now)
{
    const auto arrivals = m_arrivals.sums(now);
    const auto starts = m_starts.sums(now);
    double all_arrivals = 0;
    double all_starts = 0;
    for (const auto& [rank, count] : arrivals)
        all_arrivals += count;
    for (const auto& [rank, count] : starts)
        all_starts += count;
    std::map<urgency, std::uint32_t> found;
    for (const auto& [rank, count] : arrivals)
    {
        const auto started = starts.find(rank);
        const double own = started == starts.end() ? 0 : started->second;
        const double least =
            all_starts * count / (all_arrivals * min_share_divisor);
        if (own < least)
            found[rank] = static_cast<std::uint32_t>(std::ceil(least - own));
    }
    return found;
}

std::map<std::string, double> admission_record::account_starts(instant now)
{
    return m_account_starts.sums(now);
}

} // namespace mangofold::decision

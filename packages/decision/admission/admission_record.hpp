#pragma once

#include "decision/admission/recent_counts.hpp"
#include "decision/admission/urgency.hpp"
#include "decision/stages/stage_job.hpp"
#include "decision/time.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace mangofold::decision
{

/// What arrived at the planner of a service and what was started lately, by
/// urgency and account.
class admission_record
{
public:
    /// Records that \a job arrived.
    void note_arrival(const stage_job& job, instant now);
    /// Records that the forecast found for the first time whether \a job, which
    /// arrived lately, can be on time. Its pieces at \a service take \a work of
    /// the time of that service.
    void note_work_on_time(const std::string& service, const urgency& rank,
                           duration work, instant now);
    /// Records that the first pieces of \a job were put into a call.
    void note_start(const stage_job& job, instant now);

    /// Returns the share of the time of \a service that work in time, as it
    /// arrived over the last second, leaves; of the work that is at least as
    /// urgent as \a rank if that is set. Never less than min_spare_share.
    double spare_share(const std::string& service, instant now);
    double spare_share(const std::string& service, const urgency& rank,
                       instant now);

    /// Returns the most urgent rank of the work in time, as it arrived over the
    /// last second, for each service.
    std::map<std::string, urgency> most_urgent(instant now);

    /// Returns the ranks of whose jobs less than a quarter of the overall share
    /// were started over the last ten seconds, with the number of jobs that are
    /// missing, rounded up.
    std::map<urgency, std::uint32_t> starved_ranks(instant now);

    /// Returns the number of recent starts by account.
    std::map<std::string, double> account_starts(instant now);

    /// Least share of a service that counts as left. The forecast keeps further
    /// late jobs, so that the service never idles; see late_reserve.
    static constexpr double min_spare_share = 0.01;

private:
    recent_counts<std::pair<std::string, urgency>> m_work_on_time{
        std::chrono::seconds(1)};
    recent_counts<urgency> m_arrivals{std::chrono::seconds(10)};
    recent_counts<urgency> m_starts{std::chrono::seconds(10)};
    /// A few seconds: long enough for a small account to have requests, short
    /// enough that a large one is not held responsible for an earlier burst.
    recent_counts<std::string> m_account_starts{std::chrono::seconds(4)};
};

} // namespace mangofold::decision

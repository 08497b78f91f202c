#pragma once

#include "decision/stages/stage_job.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// What is known of the load of a service. Unknown figures are zero: an unknown
/// wait means that requests are admitted.
struct service_outlook
{
    duration wait_on_time{};   ///< Of work that can be on time.
    duration wait_late{};      ///< Of work that will be late.
    duration time_per_piece{}; ///< Of the whole service, as measured.
    duration call_time{};
    /// Share of the capacity that arrivals in time leave.
    double spare_share = 1;

    friend bool operator==(const service_outlook&,
                           const service_outlook&) = default;
};

/// A job that waits for its start, and what the forecast says of it.
struct admission_candidate
{
    const stage_job* job = nullptr;
    std::uint32_t pieces = 0; ///< Waiting ones.
    /// Starts of the job's account in the last seconds.
    double account_starts = 0;
    /// Has been found to be on time before.
    bool was_on_time = false;
    /// Goes before all others: it serves its rank the minimum share, or is of a
    /// stream that is taken up.
    bool goes_first = false;

    bool is_late = false;     ///< The stages will end after the due time.
    bool is_hopeless = false; ///< They will end after the job has expired.
    /// Position by account; 0 if due times decide, less for a continued stream.
    double account_turn = 0;
    /// Time after which the services of the job will have done this job and all
    /// that can be on time and are as urgent or more.
    duration backlog{};

    friend bool operator==(const admission_candidate&,
                           const admission_candidate&) = default;
};

/// Forecasts when each of the waiting jobs would start and when its last stage
/// would end, if the services on its path work at their measured rates.
///
/// Jobs are served by urgency, then by the share that their account has had,
/// then by due time. A job that would end after its due time counts as late at
/// once and takes only the capacity that the others leave. The time needed is
/// that of a sort: no job is compared with all others.
class admission_forecast
{
public:
    using outlook_source =
        std::function<service_outlook(const std::string& service)>;

    /// \a own is the outlook of the service that the jobs wait for,
    /// \a downstream that of the services of their later stages. Late jobs with
    /// \a late_reserve pieces are never hopeless: the service has work if fewer
    /// jobs arrive than before.
    admission_forecast(instant now, const service_outlook& own,
                       outlook_source downstream,
                       std::uint32_t late_reserve = 0);

    /// Adds the pieces of a job that has started and waits for its next call.
    void add_started(const stage_job& job, std::uint32_t pieces);

    /// Returns the outlook of a service; that of the own one for an empty name.
    const service_outlook& outlook(const std::string& service)
    {
        return m_stations[station_of(service)].outlook;
    }

    /// Fills in what the forecast says of each of \a candidates.
    void evaluate(std::vector<admission_candidate>& candidates);

private:
    struct station
    {
        std::string service;
        service_outlook outlook;
    };
    /// When a service will be free of the work considered so far, relative to
    /// now.
    struct backlog
    {
        duration on_time{}; ///< Of work that can be on time.
        duration late{};    ///< Of all work.
    };
    /// The time that a job's stages take.
    struct passage
    {
        duration total{};   ///< Until the end of the last stage.
        duration waits{};   ///< Part of the total.
        duration backlog{}; ///< Until the last of the services is free again.
    };

    std::size_t station_of(const std::string& service);
    duration pass(std::size_t at, std::uint32_t pieces, duration arrival,
                  bool is_late);
    passage pass_all(const stage_job& job, std::uint32_t pieces, bool is_late);
    void restore(const std::vector<backlog>& saved);
    bool place_on_time(admission_candidate& candidate);
    void place_late(admission_candidate& candidate);
    void place_group(std::vector<admission_candidate*>::iterator begin,
                     std::vector<admission_candidate*>::iterator end);

    instant m_now;
    outlook_source m_downstream;
    std::uint32_t m_late_reserve;
    std::uint32_t m_late_pieces = 0; ///< Of late jobs considered so far.
    std::vector<station> m_stations; ///< The own service first.
    std::vector<backlog> m_backlogs; ///< Of the stations.
    std::vector<backlog> m_saved;    ///< To undo the passage of one job.
};

} // namespace mangofold::decision

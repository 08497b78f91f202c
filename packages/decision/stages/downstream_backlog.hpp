#pragma once

#include "decision/stages/stage_job.hpp"
#include "decision/time.hpp"

#include <deque>
#include <map>
#include <string>

namespace mangofold::decision
{

/// The expected queueing times of a service, as reported by the entry that
/// plans its calls.
struct service_wait_times
{
    duration on_time{};   ///< Of a new piece that can be on time.
    duration late{};      ///< Of a new piece that will be late.
    duration call_time{}; ///< Average duration of a call.
    /// Time per piece of the whole service; zero if unknown.
    duration time_per_piece{};

    friend bool operator==(const service_wait_times&,
                           const service_wait_times&) = default;
};

/// Estimates the queueing time at the services of downstream stages, so that
/// an entry starts no request whose next stage cannot take it soon.
///
/// A request that has started and then waits occupies memory for its results,
/// which is as scarce as compute time. Results that wait too long are dropped
/// and have to be produced again.
class downstream_backlog
{
public:
    /// Records the wait times that \a service reported at \a now.
    void note_wait_times(const std::string& service,
                         const service_wait_times& reported, instant now);

    /// Records that a request was started here whose \a work reaches its
    /// service after \a arrives_in. One piece takes \a per_piece of the
    /// capacity of the whole service.
    void note_started(const downstream_pieces& work, duration per_piece,
                      instant now, duration arrives_in, bool is_late);

    /// Returns the time that a new piece would wait at \a service if it
    /// arrives there after \a arrives_in; the service works off its backlog in
    /// the meantime. A piece that can be on time does not wait for late ones.
    duration expected_wait(const std::string& service, instant now,
                           duration arrives_in, bool is_late) const;

    /// Returns how long \a service needs for all work that is known, also for
    /// what was started here and has not arrived there.
    duration work_ahead(const std::string& service, instant now,
                        bool is_late) const;

    /// Returns the reported duration of a call to \a service, or
    /// \a default_time if none was reported.
    duration call_time(const std::string& service, duration default_time) const;

    /// Returns the reported time per piece of \a service, or \a default_time
    /// if none was reported.
    duration time_per_piece(const std::string& service,
                            duration default_time) const;

private:
    struct started_work
    {
        instant arrives{};
        duration time{};
        bool is_late = false;
    };
    struct backlog
    {
        service_wait_times reported;
        instant reported_at{};
        std::deque<started_work> arriving; ///< Started here, not there yet.
    };

    static bool is_unreported(const backlog& known, const started_work& work,
                              instant now);
    static duration reported_wait(const backlog& known, instant now,
                                  bool is_late);

    std::map<std::string, backlog> m_backlogs; ///< By service.
};

} // namespace mangofold::decision

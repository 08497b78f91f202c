#pragma once

#include "decision/piece_job.hpp"
#include "decision/time.hpp"

#include <deque>
#include <map>
#include <string>

namespace mangofold::decision
{

/// What waits at a service, as who gathers it says.
struct service_wait
{
    duration in_time{}; ///< Until a new piece that can be in time would begin.
    duration all{};     ///< Until one that will be late would.
    duration call{};    ///< That a call takes.

    friend bool operator==(const service_wait&, const service_wait&) = default;
};

/// What a gatherer knows of the work that waits at the services of later
/// stages, so that it begins no request whose next stage cannot take it soon.
///
/// A chain that is begun and then waits holds room for its results, which is
/// as scarce as time; results that wait too long are dropped and made again.
class later_work
{
public:
    /// Notes what waited at \a service at \a now.
    void note_wait(const std::string& service, const service_wait& said,
                   instant now);

    /// Notes that \a work for \a service was begun here and will come there
    /// in \a arrives_in; one piece takes \a per_piece of the whole service.
    void note_begun(const later_pieces& work, duration per_piece, instant now,
                    duration arrives_in, bool is_late);

    /// Returns how long a new piece would wait at \a service that comes there
    /// in \a arrives_in: until then it works off what is there already. One
    /// that can be in time does not wait for those that will be late.
    duration wait_at(const std::string& service, instant now,
                     duration arrives_in, bool is_late) const;

    /// Returns the time that a call there takes, or \a usual where nobody
    /// has said.
    duration call_at(const std::string& service, duration usual) const;

private:
    struct begun
    {
        instant arrives{};
        duration time{};
        bool is_late = false;
    };
    struct line
    {
        service_wait said;
        instant said_at{};
        std::deque<begun> coming;
    };

    std::map<std::string, line> m_lines;
};

} // namespace mangofold::decision

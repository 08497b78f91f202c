#pragma once

#include "decision/piece_job.hpp"
#include "decision/time.hpp"

#include <deque>
#include <map>
#include <string>

namespace mangofold::decision
{

/// What a gatherer knows of the work that waits at the services of later
/// stages, so that it begins no request whose next stage cannot take it soon.
///
/// A chain that is begun and then waits holds room for its results, which is
/// as scarce as time; results that wait too long are dropped and made again.
class later_work
{
public:
    /// Notes that a new piece at \a service would be begun after \a wait and
    /// be made \a call later, as who gathers it said at \a now.
    void note_wait(const std::string& service, duration wait, duration call,
                   instant now);

    /// Notes that \a pieces for \a service were begun here and will come
    /// there in \a arrives_in; one takes \a per_piece of the whole service.
    void note_begun(const std::string& service, std::uint32_t pieces,
                    duration per_piece, instant now, duration arrives_in);

    /// Returns how long a new piece would wait at \a service that comes there
    /// in \a arrives_in: until then it works off what is there already.
    duration wait_at(const std::string& service, instant now,
                     duration arrives_in) const;

    /// Returns the time that a call there takes, or \a usual where nobody
    /// has said.
    duration call_at(const std::string& service, duration usual) const;

private:
    struct begun
    {
        instant arrives{};
        duration time{};
    };
    struct line
    {
        duration wait{};
        duration call{};
        instant said_at{};
        std::deque<begun> coming;
    };

    std::map<std::string, line> m_lines;
};

} // namespace mangofold::decision

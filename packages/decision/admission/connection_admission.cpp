#include "decision/admission/connection_admission.hpp"

namespace mangofold::decision
{

namespace
{

/// The lag of the event loop from which connections are declined. Each request
/// waits for several turns of the loop, and plain ones are late after some
/// tenths of a second.
constexpr duration max_loop_lag = std::chrono::milliseconds(250);

/// The share of the descriptors that may be in use. The rest is for targets and
/// other entries.
constexpr double max_used_share = 0.8;

/// An overloaded entry still takes one connection in this time, since the
/// overload may be over before its requests are read.
constexpr duration min_accept_interval = std::chrono::milliseconds(250);

/// An entry that has declined connections for the first time is not ready until
/// it has declined none for the second one.
constexpr duration overload_time = std::chrono::milliseconds(500);
constexpr duration recovery_time = std::chrono::seconds(1);

} // namespace

bool connection_admission::lacks_descriptors(const load& now_load)
{
    return static_cast<double>(now_load.descriptors_used) >=
           max_used_share * static_cast<double>(now_load.descriptors);
}

bool connection_admission::accept(const load& now_load, instant now)
{
    const bool is_overloaded =
        now_load.loop_lag >= max_loop_lag || lacks_descriptors(now_load);
    if (!is_overloaded || !now_load.has_other_entries ||
        now >= m_accepted_at + min_accept_interval)
    {
        m_accepted_at = now;
        return true;
    }
    if (now >= m_declined_at + recovery_time)
        m_declined_from = now;
    m_declined_at = now;
    return false;
}

bool connection_admission::is_ready(instant now) const
{
    const bool has_declined = m_declined_at != instant{};
    return !has_declined || now >= m_declined_at + recovery_time ||
           m_declined_at < m_declined_from + overload_time;
}

} // namespace mangofold::decision

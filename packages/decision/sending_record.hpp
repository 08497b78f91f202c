#pragma once

#include <cstdint>

namespace mangofold::decision
{

/// What became of the sends of one request, and so what may still be done
/// with it and what may be said of it.
class sending_record
{
public:
    /// \a max_targets bounds how many targets may run it.
    sending_record(bool is_repeatable, std::uint32_t max_targets)
        : m_is_repeatable(is_repeatable), m_max_targets(max_targets)
    {
    }

    /// Whether it may be sent to another target now. One that may not be
    /// repeated goes on only while each target so far said that it has not
    /// run, and will not.
    bool may_send() const;

    /// Whether "not run" is true.
    bool has_surely_not_run() const { return m_may_have_run == 0; }

    void note_sent() { ++m_may_have_run; }

    /// Notes that the newest send has not run and never will.
    void note_not_run();

    std::uint32_t sends() const { return m_may_have_run + m_not_run; }

private:
    /// Refused sends a request makes at most: each one costs a target time
    /// although it runs nothing.
    static constexpr std::uint32_t max_refusals = 3;

    bool m_is_repeatable;
    std::uint32_t m_max_targets;
    std::uint32_t m_may_have_run = 0;
    std::uint32_t m_not_run = 0;
};

inline bool sending_record::may_send() const
{
    if (m_not_run >= max_refusals)
        return false;
    return m_may_have_run == 0 ||
           (m_is_repeatable && m_may_have_run < m_max_targets);
}

inline void sending_record::note_not_run()
{
    --m_may_have_run;
    ++m_not_run;
}

} // namespace mangofold::decision

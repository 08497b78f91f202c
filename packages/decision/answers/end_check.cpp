#include "decision/answers/end_check.hpp"

#include <algorithm>

namespace mangofold::decision
{

std::string_view to_string(answer_end value)
{
    switch (value)
    {
    case answer_end::whole:
        return "whole";
    case answer_end::broken_off:
        return "broken_off";
    default:
        return "unknown";
    }
}

// A target also resets a connection that is one too many, which says nothing
// about its life.
void end_check::note_witness_ended(bool is_orderly, instant now)
{
    m_is_witness_open = false;
    if (is_orderly)
        m_witness_ended_at = now;
}

// The connections of a killed target end together, but the entry may read the
// answer's end late. A wait that outlasts the witness shows that the target had
// only closed an idle connection.
void end_check::note_read(instant began, instant ended)
{
    constexpr duration same_time = std::chrono::milliseconds(50);
    if (m_witness_ended_at &&
        ended - std::max(began, *m_witness_ended_at) >= same_time)
        m_witness_ended_at.reset();
}

// A process that is started in place of a killed one does not have the witness,
// even if it has the same address and the same id.
answer_end end_check::judge(life_sign sign) const
{
    if (may_target_have_ended())
        return answer_end::broken_off;
    switch (sign)
    {
    case life_sign::own_answer:
        return answer_end::whole;
    case life_sign::silent:
        return answer_end::unknown;
    default:
        return answer_end::broken_off;
    }
}

} // namespace mangofold::decision

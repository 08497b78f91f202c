#include "decision/answers/end_check.hpp"

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

// What a killed target had sent before may be read after the loss of the
// witness was noticed, by an entry that runs late. An answer that goes on for
// longer shows that the target had only closed an idle connection.
void end_check::note_end(bool is_witness_open, instant now)
{
    constexpr duration late_bytes_time = std::chrono::milliseconds(100);
    const bool is_lost = m_witness == witness::open && !is_witness_open;
    if (is_lost || (m_lost_at && now < *m_lost_at + late_bytes_time))
        m_witness = witness::closed;
}

// A process that is killed loses all its connections, in order, and does not
// answer on any. One that is started in its place does not have the witness,
// even if it has the same address and the same id.
answer_end end_check::judge(life_sign sign) const
{
    if (!needs_question())
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

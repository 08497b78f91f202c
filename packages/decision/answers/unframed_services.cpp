#include "decision/answers/unframed_services.hpp"

namespace mangofold::decision
{

namespace
{

/// How long a service is known for an answer that ended with its connection.
constexpr duration unframed_memory = std::chrono::minutes(10);

} // namespace

void unframed_services::note_answer(const std::string& service,
                                    answer_framing framing, instant now)
{
    if (framing == answer_framing::connection)
        m_last_unframed_at[service] = now;
}

bool unframed_services::may_be_unframed(const std::string& service,
                                        instant now) const
{
    const auto found = m_last_unframed_at.find(service);
    return found != m_last_unframed_at.end() &&
           now < found->second + unframed_memory;
}

} // namespace mangofold::decision

#pragma once

#include "decision/answers/answer_framing.hpp"
#include "decision/time.hpp"

#include <string>
#include <unordered_map>

namespace mangofold::decision
{

/// The services whose targets have lately sent answers that end with their
/// connection.
class unframed_services
{
public:
    /// Notes that \a framing marks the end of an answer from \a service.
    void note_answer(const std::string& service, answer_framing framing,
                     instant now);

    /// Whether the next answer from \a service may end with its connection.
    bool may_be_unframed(const std::string& service, instant now) const;

private:
    std::unordered_map<std::string, instant> m_last_unframed_at;
};

} // namespace mangofold::decision

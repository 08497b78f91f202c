#pragma once

#include "decision/time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace mangofold::decision
{

/// Decides whether to ask a scheduler for engines. Requests would otherwise
/// wait in vain for one that has died or is overloaded.
class scheduler_contact
{
public:
    bool should_ask(const std::string& scheduler, instant now) const;

    void note_answered(const std::string& scheduler)
    {
        m_silent.erase(scheduler);
    }

    /// Notes a question without an answer. Returns whether \a scheduler is not
    /// asked for a while from now on.
    bool note_unanswered(const std::string& scheduler, instant now);

private:
    struct silence
    {
        std::uint32_t unanswered = 0; ///< In a row.
        instant asked_again_at{};
    };

    std::map<std::string, silence> m_silent; ///< By scheduler.
};

} // namespace mangofold::decision

#include "decision/suspects/run_survival.hpp"

namespace mangofold::decision
{

// Targets crash some tenths of a second after they began to answer.
const duration survival_time = std::chrono::seconds(1);

// The head of an answer proves nothing: a target can send it before it has read
// the prompt. If the event loop is behind, events that arrived together are
// read apart.
bool has_survived(std::optional<instant> first_event_at, instant now,
                  duration lag)
{
    return first_event_at && now >= *first_event_at + survival_time + lag;
}

} // namespace mangofold::decision

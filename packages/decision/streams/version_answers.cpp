#include "decision/streams/version_answers.hpp"

#include <algorithm>

namespace mangofold::decision
{

// One keeper may have been out of reach of all entries while another version
// served, so a time that only one has watched does not count. A version that
// only one knows does, also if its answer comes late. While the changes after
// the span are not read, a later answer may reach up to this entry's own span.
bool version_answers::note(const std::string& keeper,
                           const version_observation& seen, std::size_t keepers,
                           version_history& history)
{
    history.note_last_seen(seen.last_seen);
    if (keepers == 1)
        history.merge(seen);
    for (const auto& [address, other] : m_answers)
    {
        const version_observation both{std::max(seen.since, other.since),
                                       std::min(seen.until, other.until),
                                       {},
                                       std::min(seen.revision, other.revision)};
        if (address != keeper && both.since <= both.until)
            history.merge(both);
    }
    m_answers.insert_or_assign(keeper, seen);
    return m_answers.size() >= std::min(min_answers, keepers) &&
           !history.is_unread();
}

} // namespace mangofold::decision

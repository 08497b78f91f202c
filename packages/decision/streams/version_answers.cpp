#include "decision/streams/version_answers.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// How many record keepers must agree: one alone may have been out of reach for
/// a while.
constexpr std::size_t min_answers = 2;

} // namespace

bool version_answers::note(const std::string& keeper,
                           const version_observation& seen, std::size_t keepers,
                           version_history& history)
{
    m_answers.insert_or_assign(keeper, seen);
    if (m_answers.size() < std::min(min_answers, keepers))
        return false;
    for (const auto& [address, known] : m_answers)
        history.merge(known);
    m_answers.clear();
    return true;
}

} // namespace mangofold::decision

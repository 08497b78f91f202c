#pragma once

#include "decision/streams/version_history.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace mangofold::decision
{

/// What record keepers answer an entry that asks which versions have served.
class version_answers
{
public:
    /// How many record keepers must have watched a time.
    static constexpr std::size_t min_answers = 2;

    /// Notes the answer of one of \a keepers record keepers, and adds what it
    /// makes known to \a history. Returns whether enough have answered and
    /// no span of theirs waits for changes that are to be read.
    bool note(const std::string& keeper, const version_observation& seen,
              std::size_t keepers, version_history& history);

    /// Forgets the answers: the entry asks anew.
    void clear() { m_answers.clear(); }

private:
    std::map<std::string, version_observation> m_answers; ///< By the keeper.
};

} // namespace mangofold::decision

#pragma once

#include "decision/digest.hpp"
#include "decision/time.hpp"

#include <deque>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// Keeps the recent target lists of one pool, so that a target does not run a
/// key that another target owned recently and may have run.
class ownership_history
{
public:
    explicit ownership_history(std::string self) : m_self(std::move(self)) {}

    /// Sets the list that applies from \a now on.
    void set_targets(std::vector<std::string> targets, instant now);

    /// Whether this target owns \a key, ignoring the targets in
    /// \a renounced_by.
    bool is_owner(const digest& key,
                  const std::vector<std::string>& renounced_by) const;

    /// Whether another target, or none, owned \a key within \a horizon before
    /// \a now, ignoring the targets in \a renounced_by. Also true if
    /// lists within the horizon may have been dropped.
    bool had_other_owner(const digest& key,
                         const std::vector<std::string>& renounced_by,
                         instant now, duration horizon) const;

private:
    struct past_list
    {
        std::vector<std::string> targets;
        instant ended;
    };

    static std::string first_owner(const digest& key,
                                   const std::vector<std::string>& targets,
                                   const std::vector<std::string>& excluded);

    std::string m_self;
    std::vector<std::string> m_current_targets;
    std::deque<past_list> m_past_lists;
};

} // namespace mangofold::decision

#pragma once

#include "decision/digest.hpp"
#include "decision/time.hpp"

#include <deque>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// The published target lists of one pool, so that a key which another
/// target owned a short time ago is not run a second time here.
class ownership_history
{
public:
    explicit ownership_history(std::string self) : m_self(std::move(self)) {}

    /// Sets the list in force from \a now on.
    void set_targets(std::vector<std::string> targets, instant now);

    /// Whether this target owns \a key, counting every target in
    /// \a renounced_by as not there.
    bool is_owner(const digest& key,
                  const std::vector<std::string>& renounced_by) const;

    /// Whether another target owned \a key within \a horizon, and has not
    /// said that it did not run it.
    bool has_moved(const digest& key,
                   const std::vector<std::string>& renounced_by, instant now,
                   duration horizon) const;

private:
    struct epoch
    {
        std::vector<std::string> targets;
        instant ended;
    };

    static std::string first_owner(const digest& key,
                                   const std::vector<std::string>& targets,
                                   const std::vector<std::string>& without);

    std::string m_self;
    std::vector<std::string> m_targets;
    std::deque<epoch> m_earlier;
};

} // namespace mangofold::decision

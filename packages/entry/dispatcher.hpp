#pragma once

#include "decision/submission.hpp"
#include "entry/mailbox.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace mangofold::entry
{

/// Names a submission that left, for its cancellation.
struct dispatched
{
    std::string target;
    std::uint64_t number = 0;
    std::uint64_t incarnation = 0;
};

/// Hands submissions to the sidecars.
class dispatcher
{
public:
    virtual ~dispatcher() = default;

    /// Sends \a work to \a target. Returns nothing where it did not leave;
    /// otherwise exactly one mail about it arrives in \a replies, unless it
    /// is withdrawn before.
    virtual std::optional<dispatched>
    submit(const std::string& target, decision::submission work,
           const std::shared_ptr<mailbox>& replies) = 0;

    /// Says that nobody waits for \a sent any more.
    virtual void withdraw(const dispatched& sent) = 0;

    /// Asks \a target for a ticket. Returns whether the wish left.
    virtual bool mint(const std::string& target,
                      const std::shared_ptr<mailbox>& replies) = 0;
};

} // namespace mangofold::entry

#pragma once

#include "decision/submission.hpp"
#include "entry/mailbox.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace mangofold::entry
{

/// Identifies a submission that was sent, so that it can be cancelled.
struct sent_submission
{
    std::string target;
    std::uint64_t number = 0;      ///< Unique on the link to the sidecar.
    std::uint64_t incarnation = 0; ///< Of the target, as sent.
};

/// The interface through which the pipeline runner reaches the sidecars. Tests
/// replace it by a mock.
class dispatcher
{
public:
    virtual ~dispatcher() = default;

    /// Sends \a work to the sidecar of \a target. Returns nothing if it could
    /// not be sent; otherwise exactly one message about it arrives in
    /// \a replies, unless it is cancelled first.
    virtual std::optional<sent_submission>
    submit(const std::string& target, decision::submission work,
           const std::shared_ptr<mailbox>& replies) = 0;

    /// Cancels \a sent: its result is no longer awaited.
    virtual void cancel(const sent_submission& sent) = 0;

    /// Asks the sidecar of \a target for a ticket, which arrives in
    /// \a replies. Returns whether the request was sent.
    virtual bool request_ticket(const std::string& target,
                                const std::shared_ptr<mailbox>& replies) = 0;
};

} // namespace mangofold::entry

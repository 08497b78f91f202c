#pragma once

#include "decision/stage_result.hpp"
#include "decision/ticket_issuer.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace mangofold::entry
{

/// The result of a submission, as received from a sidecar.
struct result_message
{
    std::string target;
    std::string request_id;
    std::string stage;
    std::uint32_t attempt = 0;
    decision::stage_result result;
};

/// The stream to a sidecar ended while a submission was in progress.
struct link_lost_message
{
    std::string target;
    std::uint32_t attempt = 0;
};

/// The reply of a sidecar to a ticket request; empty if the sidecar refused or
/// the stream ended.
struct ticket_message
{
    std::optional<decision::ticket> value;
};

using mailbox_message =
    std::variant<result_message, link_lost_message, ticket_message>;

/// Queues the replies of sidecars to one request in progress for the thread
/// that runs the request.
class mailbox
{
public:
    void put(mailbox_message message)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_messages.push_back(std::move(message));
        }
        m_arrived.notify_one();
    }

    /// Returns the next message, or nothing if none arrives within \a timeout.
    std::optional<mailbox_message> take(decision::duration timeout)
    {
        std::unique_lock lock(m_mutex);
        m_arrived.wait_for(lock, timeout,
                           [this] { return !m_messages.empty(); });
        if (m_messages.empty())
            return std::nullopt;
        mailbox_message message = std::move(m_messages.front());
        m_messages.pop_front();
        return message;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<mailbox_message> m_messages;
};

} // namespace mangofold::entry

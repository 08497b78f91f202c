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
struct result_arrived
{
    std::string target;
    std::string request_id;
    std::string stage;
    std::uint32_t attempt = 0;
    decision::stage_result result;
};

/// The stream to a sidecar ended while a submission was in progress.
struct link_broke
{
    std::string target;
    std::uint32_t attempt = 0;
};

/// The reply of a sidecar to a ticket request; empty if the sidecar refused or
/// the stream ended.
struct ticket_arrived
{
    std::optional<decision::ticket> value;
};

using mail = std::variant<result_arrived, link_broke, ticket_arrived>;

/// Queues the replies of sidecars to one request in progress for the thread
/// that runs the request.
class mailbox
{
public:
    void put(mail message)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_mail.push_back(std::move(message));
        }
        m_arrived.notify_one();
    }

    /// Returns the next message, or nothing if none arrives within \a timeout.
    std::optional<mail> take(decision::duration timeout)
    {
        std::unique_lock lock(m_mutex);
        m_arrived.wait_for(lock, timeout, [this] { return !m_mail.empty(); });
        if (m_mail.empty())
            return std::nullopt;
        mail message = std::move(m_mail.front());
        m_mail.pop_front();
        return message;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<mail> m_mail;
};

} // namespace mangofold::entry

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

/// A sidecar's word on one submission, as it arrived.
struct result_arrived
{
    std::string target;
    std::string request_id;
    std::string stage;
    std::uint32_t attempt = 0;
    decision::stage_result result;
};

/// The stream ended while a submission was under way.
struct link_broke
{
    std::string target;
    std::uint32_t attempt = 0;
};

/// A sidecar's answer to the wish for a ticket; empty where it refused.
struct ticket_arrived
{
    std::optional<decision::ticket> value;
};

using mail = std::variant<result_arrived, link_broke, ticket_arrived>;

/// What arrives for one request in progress, for the thread that waits.
class mailbox
{
public:
    void put(mail one)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_mail.push_back(std::move(one));
        }
        m_arrived.notify_one();
    }

    /// Returns the next mail, or nothing where none came within \a wait.
    std::optional<mail> take(decision::duration wait)
    {
        std::unique_lock lock(m_mutex);
        m_arrived.wait_for(lock, wait, [this] { return !m_mail.empty(); });
        if (m_mail.empty())
            return std::nullopt;
        mail one = std::move(m_mail.front());
        m_mail.pop_front();
        return one;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_arrived;
    std::deque<mail> m_mail;
};

} // namespace mangofold::entry

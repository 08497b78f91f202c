#pragma once

#include "decision/target_incarnation.hpp"
#include "runtime/clock.hpp"
#include "serving/body_memory.hpp"
#include "serving/target_connection.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace mangofold::serving
{

/// Pool of idle connections to targets, by target.
class target_connection_pool
{
public:
    target_connection_pool(asio::io_context& loop, const runtime::clock& time,
                           body_memory bodies)
        : m_loop(loop), m_clock(time), m_bodies(std::move(bodies))
    {
    }

    /// Returns an idle connection to \a target, or nothing.
    connection_ptr take_idle(const decision::target_incarnation& target);

    /// Returns a new connection that is not open yet.
    connection_ptr create() const
    {
        auto connection = std::make_shared<target_connection>(m_loop);
        connection->opened_at = m_clock.now();
        return connection;
    }

    /// Keeps \a connection for reuse within \a idle_time.
    void put_back(const decision::target_incarnation& target,
                  connection_ptr connection, duration idle_time);

    /// Closes the idle connections to \a target.
    void close_idle(const decision::target_incarnation& target)
    {
        m_idle.erase(target);
    }

    /// Closes the connections whose idle time has ended.
    void close_expired();

    /// Notes that an answer of \a target stated the id of a request.
    void note_stated_id(const decision::target_incarnation& target)
    {
        m_stated_ids_at[target] = m_clock.now();
    }
    /// Whether \a target has stated ids in its answers.
    bool states_ids(const decision::target_incarnation& target) const
    {
        return m_stated_ids_at.contains(target);
    }

    /// The memory for the bodies of answers that are being received.
    const body_memory& bodies() const { return m_bodies; }

private:
    asio::io_context& m_loop;
    const runtime::clock& m_clock;
    body_memory m_bodies;
    std::unordered_map<decision::target_incarnation,
                       std::vector<connection_ptr>>
        m_idle;
    /// When each target last stated an id.
    std::unordered_map<decision::target_incarnation, instant> m_stated_ids_at;
};

} // namespace mangofold::serving

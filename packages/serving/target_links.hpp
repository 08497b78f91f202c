#pragma once

#include "decision/target_incarnation.hpp"
#include "runtime/clock.hpp"
#include "serving/target_connection.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace mangofold::serving
{

/// The connections to targets that are open and idle, by target.
class target_links
{
public:
    target_links(asio::io_context& loop, const runtime::clock& time)
        : m_loop(loop), m_clock(time)
    {
    }

    /// Returns an idle connection to the target \a id, or nothing.
    connection_ptr take_idle(const decision::target_incarnation& id);

    connection_ptr make() const
    {
        auto made = std::make_shared<target_connection>(m_loop);
        made->opened_at = m_clock.now();
        return made;
    }

    /// Keeps \a connection for \a idle_time.
    void give_back(const decision::target_incarnation& id,
                   connection_ptr connection, duration idle_time);

    /// Closes the idle connections to the target \a id.
    void drop(const decision::target_incarnation& id) { m_idle.erase(id); }

    /// Closes the idle connections whose time is over.
    void drop_old();

private:
    asio::io_context& m_loop;
    const runtime::clock& m_clock;
    std::unordered_map<decision::target_incarnation,
                       std::vector<connection_ptr>>
        m_idle;
};

} // namespace mangofold::serving

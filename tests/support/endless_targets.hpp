#pragma once

#include "support/crashing_targets.hpp"

#include <limits>

namespace mangofold::test
{

/// An entry with targets that send bytes without end.
struct endless_targets : serving_fixture
{
    static constexpr std::size_t without_end =
        std::numeric_limits<std::size_t>::max();

    /// Adds a target of \a to that sends \a first, then \a repeated every
    /// \a interval, \a repeats times.
    scripted_target& add_endless(const std::string& to,
                                 const std::string& first,
                                 const std::string& repeated,
                                 serving::duration interval = {},
                                 std::size_t repeats = without_end)
    {
        return add_target(to,
                          [this, first, repeated, interval,
                           repeats](const std::string&, std::size_t)
                          {
                              ++requests_received;
                              return scripted_target::response{
                                  first,    end::hang, {},      {},
                                  repeated, repeats,   interval};
                          });
    }

    /// Runs the loop while time passes, until \a is_done or for \a longest.
    /// Returns how much time passed.
    serving::duration pass_until(const std::function<bool()>& is_done,
                                 serving::duration longest)
    {
        constexpr serving::duration step = std::chrono::milliseconds(5);
        serving::duration passed{};
        for (; passed < longest && !is_done(); passed += step)
        {
            loop.run_for(std::chrono::milliseconds(1));
            time.advance(step);
        }
        return passed;
    }

    /// Sends a request with a deadline of a second, and waits for its answer,
    /// which is whole when it holds \a mark, or its end. Notes in waited how
    /// long that took.
    std::string ask(const std::string& path,
                    const std::string& mark = "\r\n\r\n")
    {
        const auto from = connect();
        send(*from, request_text(path, "r" + std::to_string(++requests),
                                 "Connection: close\r\nBudget: 1000\r\n"));
        waited = pass_until(
            [&] { return from->is_ended || contains(from->received, mark); },
            std::chrono::seconds(3));
        settle();
        return from->received;
    }

    /// Whether \a target sees that the entry closed its only connection. One
    /// that sends now and then sees that only when it sends again.
    bool sees_close(const scripted_target& target)
    {
        const auto is_closed = [&] { return target.closed_by_peer() == 1; };
        pass_until(is_closed, std::chrono::milliseconds(200));
        return is_closed();
    }

    std::size_t requests = 0;
    std::size_t requests_received = 0; ///< By endless targets.
    serving::duration waited{};
};

} // namespace mangofold::test

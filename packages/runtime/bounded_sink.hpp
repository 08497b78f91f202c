#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace mangofold::runtime
{

/// Where log lines go of a process that must never wait for whoever reads
/// them: they are kept up to a bound, and written as far as the reader takes
/// them. What is over the bound is dropped, and the number of dropped lines
/// is logged once there is room again.
class bounded_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    /// Writes to the descriptor \a target, which is set not to block.
    explicit bounded_sink(int target);

    /// Returns the lines dropped so far.
    std::uint64_t dropped() const { return m_dropped; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override;

private:
    int m_target;
    std::string m_waiting;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_untold = 0; ///< Dropped lines not logged yet.
};

} // namespace mangofold::runtime

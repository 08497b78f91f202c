#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>
#include <string>

namespace mangofold::runtime
{

/// A log sink that never blocks, for processes whose requests must not wait
/// for the reader of their log. Lines are buffered in memory up to a limit and
/// written as fast as the reader takes them. Further lines are dropped, and the
/// number of dropped lines is logged once the buffer has room again.
class bounded_sink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    /// Writes to \a descriptor, which is set to non-blocking mode.
    explicit bounded_sink(int descriptor);

    /// Returns the number of lines dropped so far.
    std::uint64_t dropped() const { return m_dropped; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override;

private:
    /// Returns how many of the bytes from \a from on the next write takes:
    /// whole lines where possible.
    std::size_t next_write_size(std::size_t from) const;

    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreported = 0; ///< Dropped lines not logged yet.
};

} // namespace mangofold::runtime

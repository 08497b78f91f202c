#include "runtime/bounded_sink.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace mangofold::runtime
{

namespace
{

/// The buffer limit: a few thousand lines, seconds of output of a busy
/// entry.
constexpr std::size_t max_buffered_bytes = 1U << 20U;

/// Buffered lines are written at this size, and when the log is flushed.
constexpr std::size_t flush_threshold_bytes = 1U << 15U;

} // namespace

bounded_sink::bounded_sink(int descriptor) : m_descriptor(descriptor)
{
    const int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void bounded_sink::sink_it_(const spdlog::details::log_msg& message)
{
    if (m_buffer.size() > max_buffered_bytes)
    {
        ++m_dropped;
        ++m_unreported;
        return;
    }
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    m_buffer.append(line.data(), line.size());
    if (m_buffer.size() >= flush_threshold_bytes)
        flush_();
}

// A write of at most PIPE_BUF bytes to a pipe is atomic, and collectors take it
// whole. Of longer writes some keep only the first kilobytes.
std::size_t bounded_sink::next_write_size(std::size_t from) const
{
    const std::size_t limit =
        std::min<std::size_t>(m_buffer.size() - from, PIPE_BUF);
    const std::size_t line_end = m_buffer.rfind('\n', from + limit - 1);
    const bool has_whole_line =
        line_end != std::string::npos && line_end >= from;
    return has_whole_line ? line_end + 1 - from : limit;
}

void bounded_sink::flush_()
{
    std::size_t written = 0;
    while (written < m_buffer.size())
    {
        const ssize_t count = write(m_descriptor, m_buffer.data() + written,
                                    next_write_size(written));
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
    // Dropped lines are reported once at least half of the buffer is free.
    if (m_unreported == 0 || m_buffer.size() > max_buffered_bytes / 2)
        return;
    m_buffer += "{\"event\":\"log_lines_dropped\",\"lines\":" +
                std::to_string(m_unreported) + "}\n";
    m_unreported = 0;
}

} // namespace mangofold::runtime

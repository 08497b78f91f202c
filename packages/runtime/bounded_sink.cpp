#include "runtime/bounded_sink.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace mangofold::runtime
{

namespace
{

/// What may wait to be written: some thousand lines, seconds of a busy entry.
constexpr std::size_t most_waiting = 1U << 20U;

/// Lines are written once this much waits, and when the log is flushed.
constexpr std::size_t write_at = 1U << 15U;

} // namespace

bounded_sink::bounded_sink(int target) : m_target(target)
{
    const int flags = fcntl(target, F_GETFL);
    if (flags >= 0)
        fcntl(target, F_SETFL, flags | O_NONBLOCK);
}

void bounded_sink::sink_it_(const spdlog::details::log_msg& message)
{
    if (m_waiting.size() > most_waiting)
    {
        ++m_dropped;
        ++m_untold;
        return;
    }
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    m_waiting.append(line.data(), line.size());
    if (m_waiting.size() >= write_at)
        flush_();
}

void bounded_sink::flush_()
{
    std::size_t written = 0;
    while (written < m_waiting.size())
    {
        const ssize_t count = write(m_target, m_waiting.data() + written,
                                    m_waiting.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    m_waiting.erase(0, written);
    if (m_untold == 0 || m_waiting.size() > most_waiting / 2)
        return;
    m_waiting += "{\"event\":\"log_lines_dropped\",\"lines\":" +
                 std::to_string(m_untold) + "}\n";
    m_untold = 0;
}

} // namespace mangofold::runtime

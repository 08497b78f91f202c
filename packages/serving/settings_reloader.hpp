#pragma once

#include "serving/auto_reset_event.hpp"
#include "serving/entry_context.hpp"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <string>

namespace mangofold::serving
{

/// Reloads the settings of a running process when an operator changes them, so
/// that most changes need no restart.
class settings_reloader
{
public:
    /// Returns the settings as currently written. Throws settings_error or
    /// another exception if they can't be read.
    using reader = std::function<node_settings()>;

    settings_reloader(entry_context& context, reader read);

    /// Reloads the settings after SIGHUP, and periodically to detect changes
    /// without a signal. Signals in quick succession share a read. Never
    /// returns.
    awaitable<void> run();

    enum class outcome : std::uint8_t
    {
        unchanged, ///< No difference from the previous read.
        applied,   ///< Changes are in force, except those that need a restart.
        rejected   ///< Unreadable; the previous settings stay in force.
    };

    /// Reads the settings and applies the changes that need no restart.
    /// \a trigger names the reason for the read in the log.
    outcome reload(std::string_view trigger);

private:
    awaitable<void> count_signals();
    outcome refuse(std::string_view trigger, const std::string& fault);

    entry_context& m_context;
    reader m_read;
    node_settings m_last_read; ///< As last read, including changes that need
                               ///< a restart.
    std::string m_fault;       ///< Of the last read; empty if it succeeded.
    asio::signal_set m_hangup;
    auto_reset_event m_signalled;
    std::uint64_t m_signals = 0; ///< Since the last read.
};

} // namespace mangofold::serving

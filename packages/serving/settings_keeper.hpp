#pragma once

#include "serving/entry_context.hpp"

#include <boost/asio/signal_set.hpp>

#include <functional>
#include <string>

namespace mangofold::serving
{

/// Keeps the settings of a running process up to date with where they are
/// read from.
class settings_keeper
{
public:
    /// Returns the settings as they are written now. Throws settings_error.
    using reader = std::function<node_settings()>;

    settings_keeper(entry_context& context, reader read);

    /// Looks at the settings after each hangup signal, and now and then for
    /// changes that come without one, for ever.
    awaitable<void> run();

    enum class outcome : std::uint8_t
    {
        same,
        taken,
        refused ///< They can't be read; the present ones stay.
    };

    /// Reads the settings and takes what a running process can take.
    outcome read_again(std::string_view why);

private:
    entry_context& m_context;
    reader m_read;
    node_settings m_seen; ///< As read last, with what needs a restart.
    std::string m_fault;  ///< Of the newest reading; empty if it was good.
    asio::signal_set m_hangup;
};

} // namespace mangofold::serving

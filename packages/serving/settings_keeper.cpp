#include "serving/settings_keeper.hpp"

#include "runtime/event.hpp"

#include <csignal>

namespace mangofold::serving
{

namespace
{

/// How often the settings are checked for changes without a signal. A read
/// takes some tens of microseconds, so this costs a hundred-thousandth of a
/// core.
constexpr duration poll_interval = std::chrono::seconds(2);

bool has_same_addresses(const node_settings& left, const node_settings& right)
{
    return left.callers == right.callers && left.readiness == right.readiness &&
           left.peers == right.peers && left.announced == right.announced;
}

bool has_same_retry_limits(const node_settings& left,
                           const node_settings& right)
{
    return left.retry_share == right.retry_share &&
           left.retry_reserve == right.retry_reserve;
}

} // namespace

settings_keeper::settings_keeper(entry_context& context, reader read)
    : m_context(context), m_read(std::move(read)),
      m_last_read(context.settings), m_hangup(context.loop, SIGHUP)
{
}

// The file can be read while it is being written, or contain a mistake. If the
// process exited or lost its settings then, its callers would be disconnected.
// The previous settings stay in force until a valid file can be read.
settings_keeper::outcome settings_keeper::read_again(std::string_view why)
{
    node_settings read;
    try
    {
        read = m_read();
    }
    catch (const settings_error& fault)
    {
        if (m_fault != fault.what())
            runtime::event("settings_refused")
                .with("why", why)
                .with("fault", fault.what())
                .error();
        m_fault = fault.what();
        return outcome::refused;
    }
    m_fault.clear();
    if (read == m_last_read)
        return outcome::same;
    m_last_read = read;
    if (!has_same_addresses(read, m_context.settings))
    {
        // Callers and other entries are connected to the present addresses.
        runtime::event("settings_need_restart")
            .with("callers", read.callers.text())
            .with("readiness", read.readiness.text())
            .with("peers", read.peers.text())
            .warn();
        read.callers = m_context.settings.callers;
        read.readiness = m_context.settings.readiness;
        read.peers = m_context.settings.peers;
        read.announced = m_context.settings.announced;
    }
    if (!has_same_retry_limits(read, m_context.settings))
        m_context.retries.clear();
    m_context.settings = std::move(read);
    runtime::event("settings_taken")
        .with("why", why)
        .with("seeds", m_context.settings.seeds.size())
        .info();
    return outcome::taken;
}

awaitable<void> settings_keeper::run()
{
    for (;;)
    {
        loop_timer timer(m_context.loop, poll_interval);
        timer.async_wait(
            [this](const error_code& fault)
            {
                if (!fault)
                    m_hangup.cancel();
            });
        error_code fault;
        co_await m_hangup.async_wait(into(fault));
        timer.cancel();
        read_again(fault ? "interval" : "signal");
    }
}

} // namespace mangofold::serving

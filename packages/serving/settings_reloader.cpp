#include "serving/settings_reloader.hpp"

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
    return left.caller_address == right.caller_address &&
           left.readiness_address == right.readiness_address &&
           left.peer_address == right.peer_address &&
           left.announced_address == right.announced_address;
}

bool has_same_retry_limits(const node_settings& left,
                           const node_settings& right)
{
    return left.retry_share == right.retry_share &&
           left.retry_reserve == right.retry_reserve;
}

} // namespace

settings_reloader::settings_reloader(entry_context& context, reader read)
    : m_context(context), m_read(std::move(read)),
      m_last_read(context.settings), m_hangup(context.loop, SIGHUP)
{
}

// The file can be read while it is being written, or contain a mistake. If the
// process exited or lost its settings then, its callers would be disconnected.
// The previous settings stay in force until a valid file can be read.
settings_reloader::outcome settings_reloader::reload(std::string_view trigger)
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
                .with("why", trigger)
                .with("fault", fault.what())
                .error();
        m_fault = fault.what();
        return outcome::rejected;
    }
    m_fault.clear();
    if (read == m_last_read)
        return outcome::unchanged;
    m_last_read = read;
    if (!has_same_addresses(read, m_context.settings))
    {
        // Callers and other entries are connected to the present addresses.
        runtime::event("settings_need_restart")
            .with("callers", read.caller_address.text())
            .with("readiness", read.readiness_address.text())
            .with("peers", read.peer_address.text())
            .warn();
        read.caller_address = m_context.settings.caller_address;
        read.readiness_address = m_context.settings.readiness_address;
        read.peer_address = m_context.settings.peer_address;
        read.announced_address = m_context.settings.announced_address;
    }
    if (!has_same_retry_limits(read, m_context.settings))
        m_context.retry_budgets.clear();
    m_context.settings = std::move(read);
    runtime::event("settings_taken")
        .with("why", trigger)
        .with("seeds", m_context.settings.seeds.size())
        .info();
    return outcome::applied;
}

awaitable<void> settings_reloader::run()
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
        co_await m_hangup.async_wait(store_error_in(fault));
        timer.cancel();
        reload(fault ? "interval" : "signal");
    }
}

} // namespace mangofold::serving

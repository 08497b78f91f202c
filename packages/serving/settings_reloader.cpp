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

/// Pause after a read for a signal: however fast signals come, the time for
/// reads stays a small part of the loop's.
constexpr duration pause_after_signal = std::chrono::milliseconds(50);

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
      m_last_read(context.settings), m_hangup(context.loop, SIGHUP),
      m_signalled(context.loop)
{
}

settings_reloader::outcome settings_reloader::refuse(std::string_view trigger,
                                                     const std::string& fault)
{
    if (m_fault != fault || trigger == "signal")
        runtime::event("settings_refused")
            .with("why", trigger)
            .with("signals", std::exchange(m_signals, 0))
            .with("fault", fault)
            .error();
    m_fault = fault;
    return outcome::rejected;
}

// The file can be read while it is being written, or contain a mistake. If the
// process exited or lost its settings then, its callers would be disconnected.
// The previous settings stay in force until a valid file can be read. Any
// exception counts, as it would end the coroutine, and with it all reloads.
settings_reloader::outcome settings_reloader::reload(std::string_view trigger)
{
    node_settings read;
    try
    {
        read = m_read();
    }
    catch (const std::exception& fault)
    {
        return refuse(trigger, fault.what());
    }
    catch (...)
    {
        return refuse(trigger, "unknown exception");
    }
    m_fault.clear();
    const std::uint64_t signals = std::exchange(m_signals, 0);
    if (read == m_last_read)
    {
        if (trigger == "signal")
            runtime::event("settings_unchanged")
                .with("why", trigger)
                .with("signals", signals)
                .info();
        return outcome::unchanged;
    }
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
    m_context.bodies.account().set_process_bytes(
        m_context.settings.memory_bytes);
    runtime::event("settings_taken")
        .with("why", trigger)
        .with("signals", signals)
        .with("seeds", m_context.settings.seeds.size())
        .info();
    return outcome::applied;
}

awaitable<void> settings_reloader::count_signals()
{
    for (;;)
    {
        error_code ignored; // The wait is never cancelled.
        co_await m_hangup.async_wait(store_error_in(ignored));
        ++m_signals;
        ++m_context.metrics.count({"settings_signals", ""});
        m_signalled.set();
    }
}

awaitable<void> settings_reloader::run()
{
    spawn(m_context.loop, count_signals());
    for (;;)
    {
        const bool is_signalled = co_await m_signalled.wait(poll_interval);
        reload(is_signalled ? "signal" : "interval");
        if (!is_signalled)
            continue;
        error_code ignored; // The timer is never cancelled.
        loop_timer timer(m_context.loop, pause_after_signal);
        co_await timer.async_wait(store_error_in(ignored));
    }
}

} // namespace mangofold::serving

#include "serving/settings_keeper.hpp"

#include "runtime/event.hpp"

#include <csignal>

namespace mangofold::serving
{

namespace
{

/// How often changes without a signal are looked for. A reading takes some
/// tens of microseconds, so this costs a hundred-thousandth of a core.
constexpr duration look_interval = std::chrono::seconds(2);

bool has_same_places(const node_settings& left, const node_settings& right)
{
    return left.callers == right.callers && left.readiness == right.readiness &&
           left.peers == right.peers && left.announced == right.announced;
}

bool has_same_retries(const node_settings& left, const node_settings& right)
{
    return left.retry_share == right.retry_share &&
           left.retry_reserve == right.retry_reserve;
}

} // namespace

settings_keeper::settings_keeper(entry_context& context, reader read)
    : m_context(context), m_read(std::move(read)), m_seen(context.settings),
      m_hangup(context.loop, SIGHUP)
{
}

// A file can be read while it is being written, or hold a mistake: a process
// that ended or lost its settings by that would cut off its callers. What it
// runs with stays in force until a whole file is there.
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
    if (read == m_seen)
        return outcome::same;
    m_seen = read;
    if (!has_same_places(read, m_context.settings))
    {
        // Callers and other entries hold connections to the present ones.
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
    if (!has_same_retries(read, m_context.settings))
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
        loop_timer timer(m_context.loop, look_interval);
        timer.async_wait(
            [this](const error_code& fault)
            {
                if (!fault)
                    m_hangup.cancel();
            });
        error_code fault;
        co_await m_hangup.async_wait(store_error_in(fault));
        timer.cancel();
        read_again(fault ? "interval" : "signal");
    }
}

} // namespace mangofold::serving

#include "serving/entry_process.hpp"

#include "runtime/event.hpp"

#include <csignal>

namespace mangofold::serving
{

namespace
{

/// How often a stopping process looks whether its work is done.
constexpr duration stop_tick = std::chrono::milliseconds(50);

/// How long requests of a process that has just started wait for its first
/// configuration: several times what reading it takes where the source
/// answers. Where it doesn't, callers do better to go elsewhere.
constexpr duration first_catalog_time = std::chrono::milliseconds(500);

/// How long before its end a stopping process tells callers to go elsewhere
/// whose requests still wait.
constexpr duration last_answers_time = std::chrono::milliseconds(200);

constexpr duration tidy_interval = std::chrono::seconds(1);

/// How often log lines are written: one call for what came meanwhile.
constexpr duration log_interval = turn_interval;

/// Lateness that is worth a line: more than turns of this loop should take by
/// far.
constexpr duration much_late = 2 * log_interval;

constexpr unsigned ok = 200;
constexpr unsigned unavailable = 503;

} // namespace

entry_process::entry_process(asio::io_context& loop, const runtime::clock& time,
                             const dialect& speech,
                             const source_dialect& source,
                             settings_keeper::reader settings,
                             std::uint64_t seed)
    : m_context(loop, time, speech, settings(), seed),
      m_settings(m_context, std::move(settings)), m_gatherer(m_context),
      m_source(m_context, source), m_mesh(m_context, m_source, m_gatherer),
      m_peers(
          m_context, m_gatherer,
          [this](const std::string& address) { m_mesh.add(address); },
          [this](std::size_t known) { return m_mesh.holding(known); },
          [this] { return m_source.catalog_text(); }),
      m_maker(m_context, m_gatherer, m_mesh), m_requests(m_context),
      m_status(m_context, m_context.settings.readiness,
               [this](const std::string& path) { return answer_status(path); }),
      m_signals(loop, SIGTERM, SIGINT)
{
    m_context.pieces = &m_maker;
    m_context.seat_for = [this](const std::string& matter)
    { return m_mesh.seat_for(matter); };
    m_context.knows_entries = [this] { return m_mesh.is_settled(); };
    m_context.is_outlasted = [this] { return m_mesh.is_outlasted(); };
    m_peers.set_asker_notice(
        [this](const std::string& address, const peer::Holding& theirs)
        { m_mesh.note_asker(address, theirs); });
}

status_server::reply entry_process::answer_status(const std::string& path)
{
    if (path == "/metrics")
        return {ok, m_context.metrics.text()};
    if (m_context.drain)
        m_context.drain->note_unready_reply(m_context.now());
    const bool is_ready = m_context.is_informed() && !m_context.is_stopping();
    return {is_ready ? ok : unavailable, {}};
}

awaitable<void> entry_process::watch_signals()
{
    error_code fault;
    co_await m_signals.async_wait(store_error_in(fault));
    if (!fault)
        co_await stop();
}

// Callers with open connections go on using them until the end; each answer
// from now on tells its caller to close.
awaitable<void> entry_process::stop()
{
    m_context.drain.emplace(m_context.now(), m_context.settings.grace,
                            m_context.settings.unready_answers);
    m_mesh.set_stopping();
    runtime::event("stopping")
        .with("requests", m_requests.requests_in_progress())
        .info();
    loop_timer timer(m_context.loop);
    for (;;)
    {
        const instant now = m_context.now();
        if (m_context.drain->is_out_of_rotation(now))
            m_requests.close_idle_connections();
        const bool is_idle =
            m_requests.connections() == 0 && m_gatherer.jobs() == 0;
        if (now + last_answers_time >= m_context.drain->request_deadline())
            m_requests.reject_unsent();
        if (m_context.drain->may_exit(now, is_idle))
            break;
        error_code ignored; // Nobody cancels it.
        timer.expires_after(stop_tick);
        co_await timer.async_wait(store_error_in(ignored));
    }
    runtime::event("stopped")
        .with("requests", m_requests.requests_in_progress())
        .info();
    m_context.loop.stop();
}

awaitable<void> entry_process::tidy()
{
    loop_timer timer(m_context.loop);
    for (;;)
    {
        error_code ignored; // Nobody cancels it.
        timer.expires_after(tidy_interval);
        co_await timer.async_wait(store_error_in(ignored));
        m_context.links.drop_old();
        // A watch can wait for seconds, which a target that is gone must not.
        m_context.directory.expire(m_context.now());
        m_context.cold.expire(m_context.now());
        m_context.metrics.set_gauge({"targets_cold", {}},
                                    static_cast<double>(m_context.cold.size()));
        note_quarantine();
    }
}

void entry_process::note_quarantine()
{
    m_context.quarantine.expire(m_context.now());
    const decision::target_ends& ends = m_context.quarantine.ends();
    const std::size_t kept_away =
        ends.contents_with(decision::quarantine::most_ends);
    m_context.metrics.set_gauge({"contents_in_quarantine", {}},
                                static_cast<double>(kept_away));
    m_context.metrics.set_gauge({"target_ends_known", {}},
                                static_cast<double>(ends.size()));
}

awaitable<void> entry_process::write_logs()
{
    loop_timer timer(m_context.loop);
    for (;;)
    {
        error_code ignored; // Nobody cancels it.
        timer.expires_after(log_interval);
        co_await timer.async_wait(store_error_in(ignored));
        note_turn();
        spdlog::default_logger()->flush();
    }
}

// All that callers, targets and other entries send waits as long as a timer
// does: an entry that is late by much keeps none of its times.
void entry_process::note_turn()
{
    const instant now = m_context.now();
    m_context.lateness.note_timer_run(now);
    const duration late = m_context.lateness.lag(now);
    m_context.metrics.set_gauge({"loop_late_seconds", {}},
                                std::chrono::duration<double>(late).count());
    if (late >= much_late)
        runtime::event("loop_late")
            .with("late_ms", whole_milliseconds(late))
            .warn();
}

void entry_process::run()
{
    m_context.requests_wait_until = m_context.now() + first_catalog_time;
    m_mesh.set_started();
    spawn(m_context.loop, watch_signals());
    spawn(m_context.loop, m_settings.run());
    spawn(m_context.loop, m_source.run());
    spawn(m_context.loop, m_mesh.run());
    spawn(m_context.loop, m_peers.run());
    spawn(m_context.loop, m_gatherer.run());
    spawn(m_context.loop, m_maker.run());
    spawn(m_context.loop, m_requests.run());
    spawn(m_context.loop, m_status.run());
    spawn(m_context.loop, tidy());
    spawn(m_context.loop, write_logs());
    runtime::event("started").with("zone", m_context.settings.zone).info();
    m_context.loop.run();
    spdlog::default_logger()->flush();
}

} // namespace mangofold::serving

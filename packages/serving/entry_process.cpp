#include "serving/entry_process.hpp"

#include "runtime/event.hpp"

#include <csignal>

namespace mangofold::serving
{

namespace
{

/// How often a stopping process checks whether it may exit.
constexpr duration drain_check_interval = std::chrono::milliseconds(50);

/// How long requests to a process that has just started wait for its first
/// configuration: several times the time to read it from a working source. If
/// the source doesn't answer, callers are better served by another entry.
constexpr duration first_catalog_wait = std::chrono::milliseconds(500);

constexpr duration maintenance_interval = std::chrono::seconds(1);

/// How often buffered log lines are written, with one call for all of them.
constexpr duration log_interval = loop_probe_interval;

/// Lag of the event loop from which it is logged: far more than one iteration
/// of the loop should take.
constexpr duration logged_lag = 2 * log_interval;

constexpr unsigned ok = 200;
constexpr unsigned service_unavailable = 503;

} // namespace

entry_process::entry_process(asio::io_context& loop, const runtime::clock& time,
                             const dialect& protocol,
                             const source_dialect& source,
                             settings_reloader::reader settings,
                             std::uint64_t seed)
    : m_context(loop, time, protocol, settings(), seed),
      m_settings(m_context, std::move(settings)), m_batcher(m_context),
      m_source(m_context, source), m_mesh(m_context, m_source, m_batcher),
      m_scheduler(m_context, m_mesh), m_keepers(m_context),
      m_records(m_mesh, m_keepers), m_crash_copies(m_context, m_keepers),
      m_streams(m_context, m_records),
      m_peers(
          m_context, m_batcher,
          [this](const std::string& address) { m_mesh.add(address); },
          [this](std::size_t known) { return m_mesh.holding(known); },
          [this] { return m_source.catalog_text(); }),
      m_router(m_context, m_batcher, m_mesh), m_requests(m_context),
      m_status(m_context, m_context.settings.readiness_address,
               [this](const std::string& path) { return answer_status(path); }),
      m_signals(loop, SIGTERM, SIGINT)
{
    m_context.stage_executor = &m_router;
    m_context.scheduler = &m_scheduler;
    m_context.streams = &m_streams;
    m_context.ordinal_for = [this](const std::string& subject)
    { return m_mesh.ordinal_for(subject); };
    m_context.is_fleet_size_known = [this] { return m_mesh.is_settled(); };
    m_context.others_while_stopping = [this]
    { return m_mesh.others_while_stopping(); };
    m_context.confirm_list = [this] { m_source.confirm(); };
    m_context.half_back_at = [this](duration stop_time)
    { return m_mesh.half_back_at(stop_time); };
    m_keepers.set_handler(
        [this](const std::string& address, const peer::Frame& frame)
        { m_crash_copies.handle(address, frame); });
    m_peers.set_ping_handler(
        [this](const std::string& address, const peer::Holding& theirs)
        { m_mesh.handle_ping(address, theirs); });
}

status_server::reply entry_process::answer_status(const std::string& path)
{
    if (path == "/metrics")
        return {ok, m_context.metrics.text()};
    if (m_context.drain)
        m_context.drain->note_unready_reply(m_context.now());
    const bool is_ready = m_context.has_routing_state() &&
                          !m_context.is_stopping() && m_requests.is_ready();
    return {is_ready ? ok : service_unavailable, {}};
}

awaitable<void> entry_process::watch_signals()
{
    error_code fault;
    co_await m_signals.async_wait(store_error_in(fault));
    if (!fault)
        co_await stop();
}

// Callers keep using their open connections until the process exits; each
// answer from now on tells its caller to close the connection.
awaitable<void> entry_process::stop()
{
    // The grace began when the signal came, up to the lag of the loop ago.
    const instant handled_at = m_context.now();
    m_context.drain.emplace(handled_at - m_context.loop_lag.lag(handled_at),
                            m_context.settings.grace,
                            m_context.settings.min_unready_replies);
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
            m_requests.connections() == 0 && m_batcher.job_count() == 0;
        if (now >= m_context.drain->last_answers_at())
        {
            m_requests.reject_unsent();
            m_context.drain->note_last_answers(now);
        }
        if (m_context.drain->may_exit(now, is_idle))
            break;
        error_code ignored; // The timer is never cancelled.
        timer.expires_after(drain_check_interval);
        co_await timer.async_wait(store_error_in(ignored));
    }
    m_requests.log_cut_answers();
    runtime::event("stopped")
        .with("requests", m_requests.requests_in_progress())
        .info();
    m_context.loop.stop();
}

awaitable<void> entry_process::run_maintenance()
{
    loop_timer timer(m_context.loop);
    for (;;)
    {
        error_code ignored; // The timer is never cancelled.
        timer.expires_after(maintenance_interval);
        co_await timer.async_wait(store_error_in(ignored));
        m_context.connection_pool.close_expired();
        // The reader of the source expires targets after each watch, but a
        // watch can take seconds, and a removed target must expire sooner.
        m_context.directory.expire(m_context.now());
        m_scheduler.maintain();
        m_context.versions.note_versions(
            m_context.directory.take_seen_versions(), m_context.now());
        if (m_context.has_all_targets)
            m_context.metrics.set_gauge(
                {"list_age_seconds", {}},
                std::chrono::duration<double>(m_context.now() -
                                              m_context.list_current_at)
                    .count());
        m_context.cold_targets.expire(m_context.now());
        m_context.metrics.set_gauge(
            {"targets_cold", {}},
            static_cast<double>(m_context.cold_targets.size()));
        m_context.request_limits.expire(m_context.now());
        m_context.request_limits.retain(m_context.directory);
        m_context.resting_targets.expire(m_context.now());
        m_context.metrics.set_gauge(
            {"targets_resting", {}},
            static_cast<double>(m_context.resting_targets.size()));
        m_context.metrics.set_gauge(
            {"targets_limited", {}},
            static_cast<double>(m_context.request_limits.size()));
        m_context.metrics.set_gauge(
            {"requests_in_progress", {}},
            static_cast<double>(m_requests.requests_in_progress()));
        m_context.metrics.set_gauge(
            {"callers_connected", {}},
            static_cast<double>(m_requests.connections()));
        const decision::memory_account& memory = m_context.bodies.account();
        m_context.metrics.set_gauge({"body_bytes", {}},
                                    static_cast<double>(memory.taken()));
        m_context.metrics.set_gauge({"bodies_waiting", {}},
                                    static_cast<double>(memory.waiting()));
        update_quarantine_metrics();
    }
}

void entry_process::update_quarantine_metrics()
{
    m_context.quarantine.expire(m_context.now());
    const decision::crash_log& crashes = m_context.quarantine.crashes();
    const std::size_t quarantined =
        crashes.contents_with_incidents(decision::quarantine::max_incidents);
    m_context.metrics.set_gauge({"contents_in_quarantine", {}},
                                static_cast<double>(quarantined));
    std::size_t refused_parts = 0;
    for (const decision::digest& part :
         crashes.parts_with_incidents(decision::quarantine::max_incidents))
        refused_parts += m_context.quarantine.state_of(part, m_context.now()) ==
                                 decision::quarantine::part_state::refused
                             ? 1
                             : 0;
    m_context.metrics.set_gauge({"parts_in_quarantine", {}},
                                static_cast<double>(refused_parts));
    m_context.metrics.set_gauge({"target_ends_known", {}},
                                static_cast<double>(crashes.size()));
}

awaitable<void> entry_process::flush_logs()
{
    loop_timer timer(m_context.loop);
    for (;;)
    {
        error_code ignored; // The timer is never cancelled.
        timer.expires_after(log_interval);
        co_await timer.async_wait(store_error_in(ignored));
        measure_loop_lag();
        spdlog::default_logger()->flush();
    }
}

// Everything that callers, targets and other entries send is delayed as much
// as a timer is: an entry with a large lag misses all its deadlines.
void entry_process::measure_loop_lag()
{
    const instant now = m_context.now();
    m_context.loop_lag.note_timer_run(now);
    const duration lag = m_context.loop_lag.lag(now);
    m_context.metrics.set_gauge({"loop_late_seconds", {}},
                                std::chrono::duration<double>(lag).count());
    if (lag >= logged_lag)
        runtime::event("loop_late")
            .with("late_ms", whole_milliseconds(lag))
            .warn();
}

void entry_process::run()
{
    m_context.startup_wait_end = m_context.now() + first_catalog_wait;
    m_mesh.set_started();
    spawn(m_context.loop, watch_signals());
    spawn(m_context.loop, m_settings.run());
    spawn(m_context.loop, m_source.run());
    spawn(m_context.loop, m_mesh.run());
    spawn(m_context.loop, m_keepers.run());
    spawn(m_context.loop, m_crash_copies.run());
    spawn(m_context.loop, m_streams.run());
    spawn(m_context.loop, m_peers.run());
    spawn(m_context.loop, m_batcher.run());
    spawn(m_context.loop, m_router.run());
    spawn(m_context.loop, m_requests.run());
    spawn(m_context.loop, m_status.run());
    spawn(m_context.loop, run_maintenance());
    spawn(m_context.loop, flush_logs());
    runtime::event("started").with("zone", m_context.settings.zone).info();
    m_context.loop.run();
    spdlog::default_logger()->flush();
}

} // namespace mangofold::serving

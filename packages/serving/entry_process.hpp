#pragma once

#include "serving/entry_context.hpp"
#include "serving/job_router.hpp"
#include "serving/peer_mesh.hpp"
#include "serving/peer_server.hpp"
#include "serving/piece_batcher.hpp"
#include "serving/records/crash_copies.hpp"
#include "serving/records/keeper_client.hpp"
#include "serving/request_server.hpp"
#include "serving/settings_reloader.hpp"
#include "serving/source_reader.hpp"
#include "serving/status_server.hpp"

#include <boost/asio/signal_set.hpp>

namespace mangofold::serving
{

/// One entry process: owns all its components and runs them on one thread.
class entry_process
{
public:
    /// Reads the settings with \a settings, now and periodically later. Throws
    /// settings_error if they can't be read now.
    entry_process(asio::io_context& loop, const runtime::clock& time,
                  const dialect& protocol, const source_dialect& source,
                  settings_reloader::reader settings, std::uint64_t seed);

    /// Runs until a signal requests a stop and the requests in progress are
    /// done.
    void run();

private:
    awaitable<void> watch_signals();
    awaitable<void> stop();
    awaitable<void> run_maintenance();
    awaitable<void> flush_logs();
    void measure_loop_lag();
    void update_quarantine_metrics();
    status_server::reply answer_status(const std::string& path);

    entry_context m_context;
    settings_reloader m_settings;
    piece_batcher m_batcher;
    source_reader m_source;
    peer_mesh m_mesh;
    engine_scheduler m_scheduler;
    keeper_client m_keepers;
    record_channel m_records;
    crash_copies m_crash_copies;
    stream_registry m_streams;
    peer_server m_peers;
    job_router m_router;
    request_server m_requests;
    status_server m_status;
    asio::signal_set m_signals;
};

} // namespace mangofold::serving

#pragma once

#include "serving/entry_context.hpp"
#include "serving/job_router.hpp"
#include "serving/peer_mesh.hpp"
#include "serving/peer_server.hpp"
#include "serving/piece_batcher.hpp"
#include "serving/request_server.hpp"
#include "serving/settings_keeper.hpp"
#include "serving/source_reader.hpp"
#include "serving/status_server.hpp"

#include <boost/asio/signal_set.hpp>

namespace mangofold::serving
{

/// One entry process: everything it runs on its one thread.
class entry_process
{
public:
    /// Reads the settings with \a settings, now and again; throws
    /// settings_error where they can't be read now.
    entry_process(asio::io_context& loop, const runtime::clock& time,
                  const dialect& speech, const source_dialect& source,
                  settings_keeper::reader settings, std::uint64_t seed);

    /// Runs until a signal asks it to stop and its work is done.
    void run();

private:
    awaitable<void> watch_signals();
    awaitable<void> stop();
    awaitable<void> tidy();
    awaitable<void> write_logs();
    void note_turn();
    void note_quarantine();
    status_server::reply answer_status(const std::string& path);

    entry_context m_context;
    settings_keeper m_settings;
    piece_batcher m_gatherer;
    source_reader m_source;
    peer_mesh m_mesh;
    peer_server m_peers;
    job_router m_maker;
    request_server m_requests;
    status_server m_status;
    asio::signal_set m_signals;
};

} // namespace mangofold::serving

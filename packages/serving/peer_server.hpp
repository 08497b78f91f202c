#pragma once

#include "serving/entry_context.hpp"
#include "serving/frame_socket.hpp"
#include "serving/piece_batcher.hpp"
#include "serving/target_losses.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace mangofold::serving
{

/// Serves the requests of other entries on connections that they opened.
class peer_server
{
public:
    /// Receives the address at which a connected entry can be reached.
    using hello_handler = std::function<void(const std::string& address)>;
    using catalog_source = std::function<std::shared_ptr<const std::string>()>;
    /// Returns the state of this entry, for an entry that knows
    /// \a known_entries of the entries.
    using holding_source =
        std::function<peer::Holding(std::size_t known_entries)>;

    /// Receives the state that an entry sends with its pings.
    using ping_handler = std::function<void(const std::string& address,
                                            const peer::Holding& peer_state)>;

    peer_server(entry_context& context, piece_batcher& batcher,
                hello_handler on_hello, holding_source holding,
                catalog_source catalog_text);

    void set_ping_handler(ping_handler handler)
    {
        m_ping_handler = std::move(handler);
    }

    /// Accepts connections until the process ends.
    awaitable<void> run();

private:
    /// The jobs that a connected entry has submitted, by the numbers that it
    /// gave them. The value is true while the job is still wanted.
    using wanted_jobs = std::map<std::uint64_t, std::shared_ptr<bool>>;

    /// One connected entry.
    struct client_entry
    {
        client_entry(entry_context& context, frame_socket_ptr client_socket,
                     std::uint64_t number)
            : connection("connection-" + std::to_string(number)),
              socket(std::move(client_socket)), crash_sync(context)
        {
        }

        std::string connection; ///< Unique name.
        frame_socket_ptr socket;
        std::string address; ///< From its hello message; empty before.
        wanted_jobs jobs;
        crash_log_sync crash_sync;
        std::size_t known_entries = 0; ///< As it stated last.
        std::uint64_t bytes_read = 0;  ///< Until \c heard_at.
        instant heard_at{};
    };

    awaitable<void> serve(frame_socket_ptr socket);
    /// Closes the connections of entries that have jobs here and are gone.
    awaitable<void> watch_clients();
    bool is_silent(client_entry& client, instant now) const;
    void close_former_connections(const client_entry& client);
    void drop(client_entry& client, std::string_view why);
    void handle_frame(const peer::Frame& frame,
                      const std::shared_ptr<client_entry>& client);
    void handle_ping(const peer::Ping& ping, client_entry& client);
    void handle_want(const peer::Want& want, const frame_socket_ptr& socket);
    bool try_start_copy(const frame_socket_ptr& socket);
    void handle_placement_request(const peer::PlacementRequest& message,
                                  const client_entry& client);
    void handle_job(const peer::Job& message,
                    const std::shared_ptr<client_entry>& client);

    entry_context& m_context;
    piece_batcher& m_batcher;
    hello_handler m_hello_handler;
    holding_source m_holding;
    catalog_source m_catalog_text;
    ping_handler m_ping_handler;
    tcp::acceptor m_acceptor;
    std::uint64_t m_last_connection = 0;
    std::vector<std::weak_ptr<client_entry>> m_clients;
    /// Copies in progress.
    std::vector<std::weak_ptr<frame_socket>> m_copy_sockets;
};

} // namespace mangofold::serving

#pragma once

#include "serving/entry_context.hpp"
#include "serving/frame_socket.hpp"
#include "serving/gatherer.hpp"
#include "serving/target_losses.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// Serves the requests of other entries on connections that they opened.
class peer_server
{
public:
    /// Receives the address at which a connected entry can be reached.
    using arrival = std::function<void(const std::string& address)>;
    using text_source = std::function<std::shared_ptr<const std::string>()>;
    /// Returns the state of this entry, for an entry that knows \a known
    /// entries.
    using holding_source = std::function<peer::Holding(std::size_t known)>;

    /// Receives the state that an entry sends with its pings.
    using asker_notice = std::function<void(const std::string& address,
                                            const peer::Holding& theirs)>;

    peer_server(entry_context& context, gatherer& own, arrival arrived,
                holding_source holding, text_source catalog_text);

    void set_asker_notice(asker_notice notice)
    {
        m_asker_notice = std::move(notice);
    }

    /// Accepts connections until the process ends.
    awaitable<void> run();

private:
    /// The jobs that a connected entry has submitted, by the numbers that it
    /// gave them. True while the job is still wanted.
    using asked_jobs = std::map<std::uint64_t, std::shared_ptr<bool>>;

    /// One connected entry.
    struct asker
    {
        asker(entry_context& context, frame_socket_ptr its_socket)
            : socket(std::move(its_socket)), news(context)
        {
        }

        frame_socket_ptr socket;
        std::string address; ///< From its hello message; empty before.
        asked_jobs jobs;
        end_news news;
    };

    awaitable<void> serve(frame_socket_ptr socket);
    void take(const peer::Frame& frame, const std::shared_ptr<asker>& from);
    void take_ping(const peer::Ping& ping, asker& from);
    void take_want(const peer::Want& want, const frame_socket_ptr& socket);
    bool admits_copy(const frame_socket_ptr& socket);
    void take_job(const peer::Job& message, const std::shared_ptr<asker>& from);

    entry_context& m_context;
    gatherer& m_gatherer;
    arrival m_arrived;
    holding_source m_holding;
    text_source m_catalog_text;
    asker_notice m_asker_notice;
    tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<frame_socket>>
        m_copied_to; ///< Copies in progress.
};

} // namespace mangofold::serving

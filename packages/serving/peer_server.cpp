#include "serving/peer_server.hpp"

#include "serving/catalog_parts.hpp"
#include "serving/peer_messages.hpp"
#include "serving/request_server.hpp"

namespace mangofold::serving
{

namespace
{

/// Copies of something large that one entry gives at a time. Each of two comes
/// at half of the link's rate; a third comes sooner from who has the first.
constexpr std::size_t most_copies = 2;

} // namespace

peer_server::peer_server(entry_context& context, gatherer& own, arrival arrived,
                         holding_source holding, text_source catalog_text)
    : m_context(context), m_gatherer(own), m_arrived(std::move(arrived)),
      m_holding(std::move(holding)), m_catalog_text(std::move(catalog_text)),
      m_acceptor(context.loop)
{
    listen_at(m_acceptor, context.settings.peers);
}

awaitable<void> peer_server::run()
{
    for (;;)
    {
        error_code fault;
        tcp::socket socket =
            co_await m_acceptor.async_accept(store_error_in(fault));
        if (!fault)
            spawn(m_context.loop,
                  serve(std::make_shared<frame_socket>(std::move(socket))));
    }
}

awaitable<void> peer_server::serve(frame_socket_ptr socket)
{
    const auto one = std::make_shared<asker>(m_context, socket);
    while (auto frame = co_await socket->read())
        take(*frame, one);
    for (auto& [number, is_wanted] : one->jobs)
        *is_wanted = false;
}

void peer_server::take_ping(const peer::Ping& ping, asker& from)
{
    take_ends(m_context, ping.news(), from.address);
    from.news.note_theirs(ping.holding().ends_summary());
    if (m_asker_notice)
        m_asker_notice(from.address, ping.holding());
    peer::Frame reply;
    *reply.mutable_pong()->mutable_holding() =
        m_holding(ping.holding().known());
    from.news.write(*reply.mutable_pong()->mutable_news());
    from.socket->send(reply);
}

void peer_server::take(const peer::Frame& frame,
                       const std::shared_ptr<asker>& from)
{
    const frame_socket_ptr& socket = from->socket;
    asked_jobs& asked = from->jobs;
    switch (frame.content_case())
    {
    case peer::Frame::kHello:
        from->address = frame.hello().address();
        return m_arrived(from->address);
    case peer::Frame::kPing:
        return take_ping(frame.ping(), *from);
    case peer::Frame::kEnds:
        return take_ends(m_context, frame.ends(), from->address);
    case peer::Frame::kWant:
        return take_want(frame.want(), socket);
    case peer::Frame::kJob:
        return take_job(frame.job(), from);
    case peer::Frame::kJobDropped:
    {
        const auto found = asked.find(frame.job_dropped().number());
        if (found != asked.end())
            *found->second = false;
        return;
    }
    case peer::Frame::kRelease:
        return m_gatherer.release(frame.release().service(),
                                  {frame.release().handles().begin(),
                                   frame.release().handles().end()});
    default:
        return;
    }
}

// All entries that start at once ask the first ones that hold a list. Given to
// all of them, each copy takes seconds of the giver's link, behind which its
// callers' answers wait.
bool peer_server::admits_copy(const frame_socket_ptr& socket)
{
    std::erase_if(m_copied_to,
                  [&socket](const auto& one)
                  {
                      const frame_socket_ptr other = one.lock();
                      return !other || other == socket ||
                             !other->is_sending_parts();
                  });
    if (m_copied_to.size() >= most_copies)
        return false;
    m_copied_to.push_back(socket);
    return true;
}

void peer_server::take_want(const peer::Want& want,
                            const frame_socket_ptr& socket)
{
    if (!want.targets() && !want.catalog())
        return socket->drop_parts();
    peer::Frame reply;
    if (want.in_parts() && !admits_copy(socket))
    {
        m_context.count("copies_declined", "what",
                        want.targets() ? "targets" : "catalog");
        reply.mutable_declined();
        return socket->send(reply);
    }
    if (want.targets())
        return socket->send_in_parts(target_parts(m_context.directory));
    const auto text = m_catalog_text();
    if (!text)
        return;
    if (want.in_parts())
        return socket->send_in_parts(catalog_parts(text));
    reply.mutable_catalog()->set_text(*text);
    socket->send(reply);
}

void peer_server::take_job(const peer::Job& message,
                           const std::shared_ptr<asker>& from)
{
    const frame_socket_ptr& socket = from->socket;
    asked_jobs& asked = from->jobs;
    std::erase_if(asked, [](const auto& one) { return !*one.second; });
    const auto is_wanted = std::make_shared<bool>(true);
    asked[message.number()] = is_wanted;
    m_gatherer.add(
        message.service(), job_of(message, m_context.now()),
        [from, is_wanted, number = message.number()](piece_outcome outcome)
        {
            const bool is_taken = *is_wanted && from->socket->is_open();
            *is_wanted = false;
            if (!is_taken)
                return false;
            // Targets may have ended under it: whoever asked must know before
            // it asks again.
            peer::Frame news;
            if (outcome.end == decision::job_status::failed &&
                from->news.write(*news.mutable_ends()))
                from->socket->send(news);
            from->socket->send(job_end_frame(number, outcome));
            return true;
        },
        [is_wanted] { return *is_wanted; },
        [socket, number = message.number()]
        {
            peer::Frame frame;
            frame.mutable_job_fetched()->set_number(number);
            socket->send(frame);
        });
}

} // namespace mangofold::serving

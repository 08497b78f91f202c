#include "serving/caller_session.hpp"

namespace mangofold::serving
{

namespace
{

/// Bodies up to this length are judged together with their head, unless memory
/// is short.
constexpr std::size_t judged_length = 65536;

} // namespace

// All of an announced length, or bodies that were begun could wait for each
// other. Chunks don't say how many follow.
std::size_t caller_session::room_needed(request_parser& parser) const
{
    const auto length = parser.content_length();
    if (length)
        return static_cast<std::size_t>(*length);
    const std::size_t own = m_body->share.size();
    const std::size_t next = parser.get().body().size() + m_received.size();
    return next <= own ? own : std::max(next, 2 * own);
}

bool caller_session::is_room_needed(request_parser& parser) const
{
    return parser.is_header_done() && !parser.is_done() &&
           room_needed(parser) > m_body->share.size();
}

awaitable<bool> caller_session::make_room(request_parser& parser)
{
    const std::size_t needed = room_needed(parser);
    const bool has_begun = m_body->share.size() > 0;
    const bool is_short = m_handler.bodies().account().waiting() > 0 ||
                          !m_body->share.fits(needed);
    body_terms terms;
    if (!has_begun && (is_short || needed > judged_length))
        terms = m_handler.judge_head(shared_from_this(),
                                     http_request(parser.get().base()));
    bool has_room = false;
    if (has_begun || !is_short)
        has_room = !terms.is_refused && m_body->share.grow_to(needed);
    else if (!terms.is_refused)
        has_room = co_await wait_for_room(needed, terms);
    if (!has_room)
    {
        co_await refuse_unread(http_request(parser.get().base()));
        co_return false;
    }
    parser.get().body().reserve(needed);
    co_return true;
}

awaitable<bool> caller_session::wait_for_room(std::size_t bytes,
                                              const body_terms& terms)
{
    decision::memory_account& account = m_handler.bodies().account();
    const auto decision = std::make_shared<std::optional<bool>>();
    const auto place =
        account.request(terms.rank, bytes,
                        [decision, weak = weak_from_this()](bool is_granted)
                        {
                            *decision = is_granted;
                            if (const auto self = weak.lock())
                                self->m_room_decided.set();
                        });
    const instant began_at = loop_clock::now();
    const instant end = began_at + terms.max_wait;
    m_is_waiting_for_room = true;
    while (!*decision && !m_has_disconnected && loop_clock::now() < end)
        co_await m_room_decided.wait(time_until(end, loop_clock::now()));
    m_is_waiting_for_room = false;
    m_may_read.set();
    m_body->time_waited = loop_clock::now() - began_at;
    if (!*decision && place)
        account.stop_waiting(*place);
    if (!decision->value_or(false))
        co_return false;
    m_body->share.add_granted(bytes);
    co_return true;
}

// The connection is closed once the caller has sent the rest, or the caller
// would get a reset in place of the answer.
awaitable<void> caller_session::refuse_unread(http_request head)
{
    close_after_response();
    m_body.reset();
    m_discards = true;
    m_untaken = 0;
    m_received.clear();
    m_may_read.set();
    co_await m_handler.refuse_unread(shared_from_this(), std::move(head));
}

} // namespace mangofold::serving

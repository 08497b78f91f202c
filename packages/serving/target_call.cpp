#include "serving/target_call.hpp"

#include "runtime/http_status.hpp"

namespace mangofold::serving
{

namespace
{

/// How long a target may take to accept a connection: many times the round trip
/// between regions. A target without power never answers.
constexpr duration connect_timeout = std::chrono::milliseconds(300);

/// How long an idle connection is kept if the target states no idle time. Such
/// targets close idle connections in less than a second.
constexpr duration default_idle_time = std::chrono::milliseconds(300);

/// How long any connection is kept idle at most.
constexpr duration max_idle_time = std::chrono::seconds(5);

/// Largest head, chunk size line or trailer. The parser limits heads only.
constexpr std::size_t max_unparsed_bytes = 8192;

/// Largest number of answers without use, interim ones or answers to other
/// requests, before the answer to a request.
constexpr int max_skipped_answers = 100;

using connection_outcome = target_connection::outcome;

target_call::outcome to_call_outcome(connection_outcome value)
{
    return value == connection_outcome::timed_out
               ? target_call::outcome::timed_out
               : target_call::outcome::connection_lost;
}

} // namespace

void target_call::reset_parser()
{
    m_parser.emplace();
    share_memory(0);
    m_parser->body_limit(m_max_body_bytes);
    if (m_has_no_body)
        m_parser->skip(true);
}

awaitable<target_call::outcome> target_call::connect(duration timeout)
{
    if (!m_connection)
        m_connection = m_pool.take_idle(m_target.incarnation);
    if (m_connection)
        co_return outcome::ok;
    m_connection = m_pool.create();
    const auto result = co_await m_connection->open(
        m_target.address, std::min(timeout, connect_timeout));
    if (result != connection_outcome::ok || m_is_aborted)
        co_return outcome::not_sent;
    co_return outcome::ok;
}

// The address of the target may be another one's by now, which must not execute
// the request.
awaitable<target_call::outcome>
target_call::send_request(http_request request, std::string id,
                          duration timeout,
                          std::shared_ptr<const std::string> body)
{
    m_id = std::move(id);
    m_dialect.set_addressee(request, m_id, m_target.incarnation);
    co_return co_await send(request, timeout, std::move(body));
}

awaitable<target_call::outcome>
target_call::send_unaddressed(const http_request& request, duration timeout)
{
    co_return co_await send(request, timeout, {});
}

awaitable<target_call::outcome>
target_call::send(const http_request& request, duration timeout,
                  std::shared_ptr<const std::string> body)
{
    const auto self = shared_from_this();
    const instant deadline = loop_clock::now() + timeout;
    m_has_no_body = request.method() == http::verb::head;
    if (co_await connect(timeout) != outcome::ok)
        co_return outcome::not_sent;
    if (m_may_send && !m_may_send())
        co_return outcome::not_sent;
    const std::string host = m_target.address.text();
    if (body)
        m_connection->send(serialize_head(request, host, body->size()), body);
    else
        m_connection->send(serialize(request, host));
    reset_parser();
    co_return co_await read_head(deadline);
}

awaitable<target_call::outcome> target_call::read_head(instant deadline)
{
    for (int skipped = 0; skipped <= max_skipped_answers; ++skipped)
    {
        while (!m_parser->is_header_done())
        {
            if (parse() == outcome::invalid_answer)
                co_return outcome::invalid_answer;
            if (m_parser->is_header_done())
                break;
            const auto result =
                co_await m_connection->read(deadline - loop_clock::now());
            if (result != connection_outcome::ok)
                co_return to_call_outcome(result);
        }
        const unsigned status = m_head.result_int();
        if (runtime::is_interim_status(status))
        {
            reset_parser();
            continue;
        }
        // Its body must not be read as the answer.
        if (!runtime::is_final_status(status))
            co_return outcome::invalid_answer;
        m_metadata = m_dialect.parse_response(m_head);
        const decision::answer_owner owner = answer_owner();
        if (owner == decision::answer_owner::this_request)
            co_return outcome::ok;
        m_is_unmatched = owner == decision::answer_owner::unknown;
        if (m_is_unmatched)
            break;
        const outcome passed = co_await skip_stray_answer(deadline);
        if (passed != outcome::ok)
            co_return passed;
    }
    co_return outcome::invalid_answer;
}

// A target may answer an earlier request twice. Without this check the second
// answer would be taken for the answer to the present request, and a caller
// would get the answer of another caller. Targets repeat the request id.
decision::answer_owner target_call::answer_owner()
{
    const decision::answer_origin origin{
        m_connection->sent_count() == 1,
        m_pool.states_ids(m_target.incarnation)};
    const auto owner = decision::owner_of_answer(m_id, m_metadata.id, origin);
    if (!m_id.empty() && !m_metadata.id.empty())
        m_pool.note_stated_id(m_target.incarnation);
    return owner;
}

awaitable<target_call::outcome> target_call::skip_stray_answer(instant deadline)
{
    const outcome result = co_await read_rest(deadline - loop_clock::now());
    if (result == outcome::ok)
        reset_parser();
    co_return result;
}

bool target_call::share_memory(std::size_t body_bytes)
{
    return m_body_share.resize(body_bytes + m_held_bytes);
}

bool target_call::hold(std::size_t bytes)
{
    m_held_bytes = bytes;
    return share_memory(m_parser->get().body().capacity());
}

// The memory is taken before the body grows. Both copies exist while it does,
// but never those of two bodies at once.
bool target_call::make_room(std::size_t more_bytes)
{
    std::string& body = m_parser->get().body();
    const std::size_t needed = body.size() + more_bytes;
    if (needed <= body.capacity())
        return true;
    const std::size_t grown = std::max(needed, 2 * body.capacity());
    if (!share_memory(grown))
        return false;
    body.reserve(grown);
    return share_memory(body.capacity());
}

target_call::outcome target_call::parse()
{
    std::string& bytes = m_connection->received();
    while (!bytes.empty() && !m_parser->is_done())
    {
        if (!make_room(bytes.size()))
            return outcome::invalid_answer;
        error_code fault;
        const bool is_head = !m_parser->is_header_done();
        const std::size_t used = m_parser->put(asio::buffer(bytes), fault);
        if (is_head &&
            !note_head_lines(std::string_view(bytes).substr(0, used)))
            return outcome::invalid_answer;
        bytes.erase(0, used);
        const bool needs_more = fault == http::error::need_more;
        if (needs_more ? bytes.size() > max_unparsed_bytes : bool(fault))
            return outcome::invalid_answer;
        if (needs_more || used == 0)
            break;
    }
    return outcome::ok;
}

// Notes lines of the head that have been parsed. Returns false if they are not
// valid. The parser would join folded lines, so that what a faulty target meant
// as another field is passed on in the value of the one before.
bool target_call::note_head_lines(std::string_view lines)
{
    if (has_folded_line(lines))
        return false;
    if (m_parser->is_header_done())
    {
        // The parser adds the trailer's fields to those of the head.
        m_head = m_parser->get();
        m_parser->eager(true);
    }
    return true;
}

target_call::outcome target_call::parse_end()
{
    error_code fault;
    m_parser->put_eof(fault);
    return fault || !m_parser->is_done() ? outcome::connection_lost
                                         : outcome::ok;
}

awaitable<target_call::outcome> target_call::read_more(duration timeout)
{
    const auto self = shared_from_this();
    if (m_parser->is_done())
        co_return outcome::ok;
    const auto result = co_await m_connection->read(timeout);
    // An answer without a length is complete only if the target closed the
    // connection in order; a reset leaves it incomplete.
    if (result == connection_outcome::closed_by_peer && !m_is_aborted)
        co_return parse_end();
    if (result != connection_outcome::ok)
        co_return to_call_outcome(result);
    co_return parse();
}

awaitable<target_call::outcome> target_call::read_rest(duration timeout)
{
    const instant deadline = loop_clock::now() + timeout;
    auto result = outcome::ok;
    while (result == outcome::ok && !m_parser->is_done())
        result = co_await read_more(deadline - loop_clock::now());
    co_return result;
}

decision::answer_framing target_call::framing() const
{
    using framing = decision::answer_framing;
    if (ends_with_connection())
        return framing::connection;
    return m_parser->chunked() ? framing::chunks : framing::length;
}

std::string target_call::take_body()
{
    share_memory(0);
    return std::exchange(m_parser->get().body(), {});
}

// Half of the idle time that the target states, so that a request is never sent
// while the target closes the connection.
duration target_call::idle_time() const
{
    return m_metadata.keep_alive_timeout
               ? std::min<duration>(*m_metadata.keep_alive_timeout / 2,
                                    max_idle_time)
               : default_idle_time;
}

awaitable<bool> target_call::is_closed_within(duration time)
{
    const auto self = shared_from_this();
    if (!m_parser->keep_alive() || m_parser->need_eof())
        co_return false;
    const duration watched = std::min(time, idle_time());
    const auto result = co_await m_connection->read(watched);
    co_return result == connection_outcome::closed_by_peer ||
        result == connection_outcome::failed;
}

void target_call::release_connection()
{
    if (!m_connection || m_is_given_up)
        return;
    const bool is_reusable = is_complete() && m_parser->keep_alive() &&
                             !m_parser->need_eof() && m_connection->is_sent() &&
                             m_connection->received().empty() &&
                             m_connection->is_open();
    if (!is_reusable)
        return abort();
    m_pool.put_back(m_target.incarnation, std::move(m_connection), idle_time());
    m_connection.reset();
}

void target_call::abort()
{
    m_is_aborted = true;
    if (m_connection)
        m_connection->close();
}

} // namespace mangofold::serving

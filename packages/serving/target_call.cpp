#include "serving/target_call.hpp"

namespace mangofold::serving
{

namespace
{

/// In which a target must take a new connection: many times the way between
/// regions. One that has no power never does.
constexpr duration connect_time = std::chrono::milliseconds(300);

/// How long an idle connection is kept where the target does not say; such
/// targets close theirs in less than a second.
constexpr duration unsaid_idle_time = std::chrono::milliseconds(300);

/// The longest that any connection is kept idle.
constexpr duration most_idle_time = std::chrono::seconds(5);

/// An answer's body is read in parts; only one that comes whole can be this
/// large in memory.
constexpr std::uint64_t most_body = 64ULL << 20U;

using link_state = target_connection::state;

target_call::state said(link_state value)
{
    return value == link_state::timed_out ? target_call::state::timed_out
                                          : target_call::state::broken;
}

} // namespace

void target_call::fresh_parser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(most_body);
    if (m_has_no_body)
        m_parser->skip(true);
}

awaitable<target_call::state> target_call::connect(duration most)
{
    m_connection = m_links.take_idle(m_target.start);
    if (m_connection)
        co_return state::good;
    m_connection = m_links.make();
    const auto opened = co_await m_connection->open(
        m_target.where, std::min(most, connect_time));
    if (opened != link_state::good || m_is_aborted)
        co_return state::not_sent;
    co_return state::good;
}

awaitable<target_call::state> target_call::begin(const http_request& request,
                                                 std::string id, duration most)
{
    const auto keep = shared_from_this();
    m_id = std::move(id);
    m_has_no_body = request.method() == http::verb::head;
    if (co_await connect(most) != state::good)
        co_return state::not_sent;
    m_connection->send(serialize(request, m_target.where.text()));
    fresh_parser();
    co_return co_await read_head(most);
}

awaitable<target_call::state> target_call::read_head(duration most)
{
    for (;;)
    {
        while (!m_parser->is_header_done())
        {
            if (parse() == state::spoiled)
                co_return state::spoiled;
            if (m_parser->is_header_done())
                break;
            const auto got = co_await m_connection->read(most);
            if (got != link_state::good)
                co_return said(got);
        }
        if (m_parser->get().result_int() < 200)
        {
            fresh_parser();
            continue;
        }
        m_facts = m_dialect.parse_response(m_parser->get());
        if (!is_stray())
            co_return state::good;
        const state passed = co_await pass_over_stray(most);
        if (passed != state::good)
            co_return passed;
    }
}

// A target may answer an earlier request twice. The second answer then
// stands where ours is expected; taken for ours, a caller would get the
// answer of another one. The id that targets repeat tells them apart.
bool target_call::is_stray() const
{
    return !m_id.empty() && !m_facts.id.empty() && m_facts.id != m_id;
}

awaitable<target_call::state> target_call::pass_over_stray(duration most)
{
    while (!m_parser->is_done())
    {
        const state got = co_await more(most);
        if (got != state::good)
            co_return got;
    }
    fresh_parser();
    co_return state::good;
}

target_call::state target_call::parse()
{
    std::string& bytes = m_connection->received();
    while (!bytes.empty() && !m_parser->is_done())
    {
        error_code fault;
        const std::size_t used = m_parser->put(asio::buffer(bytes), fault);
        bytes.erase(0, used);
        if (fault == http::error::need_more)
            return state::good;
        if (fault)
            return state::spoiled;
        if (used == 0)
            return state::good;
    }
    return state::good;
}

target_call::state target_call::parse_end()
{
    error_code fault;
    m_parser->put_eof(fault);
    return fault || !m_parser->is_done() ? state::broken : state::good;
}

awaitable<target_call::state> target_call::more(duration most)
{
    const auto keep = shared_from_this();
    if (m_parser->is_done())
        co_return state::good;
    const auto got = co_await m_connection->read(most);
    // Only an orderly end completes an answer without a length; a reset
    // leaves it incomplete.
    if (got == link_state::ended && !m_is_aborted)
        co_return parse_end();
    if (got != link_state::good)
        co_return said(got);
    co_return parse();
}

std::string target_call::take_body()
{
    return std::exchange(m_parser->get().body(), {});
}

void target_call::finish()
{
    if (!m_connection)
        return;
    const bool is_in_order = is_complete() && m_parser->keep_alive() &&
                             !m_parser->need_eof() && m_connection->is_sent() &&
                             m_connection->received().empty() &&
                             m_connection->is_open();
    if (!is_in_order)
        return abort();
    // Half of what the target says, so that a request never crosses the
    // target's own closing of the connection.
    const duration idle =
        m_facts.keep_alive_timeout
            ? std::min(*m_facts.keep_alive_timeout / 2, most_idle_time)
            : unsaid_idle_time;
    m_links.give_back(m_target.start, std::move(m_connection), idle);
    m_connection.reset();
}

void target_call::abort()
{
    m_is_aborted = true;
    if (m_connection)
        m_connection->close();
}

} // namespace mangofold::serving

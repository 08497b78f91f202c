#include "serving/answers/answer_witness.hpp"

namespace mangofold::serving
{

namespace
{

/// How long a target may take to accept a connection.
constexpr duration connect_timeout = std::chrono::milliseconds(300);

/// Between two connections, for a target that closes idle ones soon.
constexpr duration min_open_interval = std::chrono::seconds(1);

} // namespace

answer_witness::answer_witness(entry_context& context, call_destination target,
                               std::string status_path)
    : m_context(context), m_target(std::move(target)),
      m_status_path(std::move(status_path)), m_has_connected(context.loop)
{
}

void answer_witness::open()
{
    m_opened_at = m_context.now();
    m_is_connecting = true;
    spawn(m_context.loop,
          [](std::shared_ptr<answer_witness> self) -> awaitable<void>
          { co_await self->connect(connect_timeout); }(shared_from_this()));
}

void answer_witness::note_head(instant began)
{
    m_check.note_read(began, m_context.now());
    if (needs_connection())
        open();
}

void answer_witness::note_read(instant began)
{
    const instant now = m_context.now();
    m_check.note_read(began, now);
    if (needs_connection() && now >= m_opened_at + min_open_interval)
        open();
}

awaitable<void> answer_witness::connect(duration timeout)
{
    m_is_connecting = true;
    m_connection = m_context.connection_pool.create();
    const connection_ptr connection = m_connection;
    m_connected = co_await connection->open(m_target.address, timeout);
    m_is_connecting = false;
    if (m_is_closed)
        m_connected = target_connection::outcome::failed;
    if (m_connected == target_connection::outcome::ok)
    {
        m_check.note_witness_opened();
        spawn(m_context.loop, watch(weak_from_this(), connection));
    }
    m_has_connected.set();
}

awaitable<void> answer_witness::watch(std::weak_ptr<answer_witness> witness,
                                      connection_ptr connection)
{
    co_await connection->wait_readable();
    const auto self = witness.lock();
    if (!self || self->m_is_asking || self->m_is_closed)
        co_return;
    // Unsolicited bytes announce the end of an idle connection.
    self->m_check.note_witness_ended(!connection->is_reset(),
                                     self->m_context.now());
}

void answer_witness::close()
{
    m_is_closed = true;
    if (m_connection)
        m_connection->close();
}

awaitable<decision::answer_end> answer_witness::judge_end(duration timeout)
{
    const auto self = shared_from_this();
    const instant until = m_context.now() + timeout;
    while (m_is_connecting)
        co_await m_has_connected.wait(connect_timeout);
    if (m_is_closed)
        co_return decision::answer_end::unknown;
    // The answer's end may be read before watch() learns of the witness's.
    if (m_check.has_witness() && !m_connection->is_reusable())
        m_check.note_witness_ended(!m_connection->is_reset(), m_context.now());
    if (m_check.may_target_have_ended())
        co_return decision::answer_end::broken_off;
    const decision::life_sign sign = co_await ask(until);
    co_return m_check.judge(sign);
}

awaitable<decision::life_sign> answer_witness::ask(instant until)
{
    const bool has_witness = m_check.has_witness();
    if (!has_witness)
    {
        co_await connect(
            std::min(connect_timeout, time_until(until, m_context.now())));
        if (m_connected == target_connection::outcome::timed_out)
            co_return decision::life_sign::silent;
        if (m_connected != target_connection::outcome::ok)
            co_return decision::life_sign::refused;
    }
    m_is_asking = true;
    const auto question = std::make_shared<target_call>(
        m_context.connection_pool, m_context.protocol, m_target);
    question->use_connection(m_connection);
    const auto result = co_await question->send_request(
        http_request{http::verb::get, m_status_path, 11},
        m_context.call_ids.next(), time_until(until, m_context.now()));
    decision::life_sign sign = sign_of(result, *question);
    // Whatever comes on the witness comes from the target. A new connection may
    // be one too many, which does not show that the target has ended.
    if (has_witness && result == target_call::outcome::invalid_answer)
        sign = decision::life_sign::own_answer;
    else if (!has_witness && sign == decision::life_sign::lost)
        sign = decision::life_sign::silent;
    if (!m_is_closed)
        question->release_connection();
    m_connection.reset();
    co_return sign;
}

decision::life_sign answer_witness::sign_of(target_call::outcome result,
                                            const target_call& question) const
{
    if (result == target_call::outcome::timed_out)
        return decision::life_sign::silent;
    // Some servers send 408 when they close an idle connection, unasked.
    if (result != target_call::outcome::ok ||
        question.head().result() == http::status::request_timeout)
        return decision::life_sign::lost;
    const response_metadata& answer = question.metadata();
    const bool is_own =
        !answer.is_misdirected &&
        (answer.target.empty() || answer.target == m_target.incarnation.id);
    return is_own ? decision::life_sign::own_answer
                  : decision::life_sign::other_answer;
}

} // namespace mangofold::serving

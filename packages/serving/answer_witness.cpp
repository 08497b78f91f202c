#include "serving/answer_witness.hpp"

namespace mangofold::serving
{

namespace
{

/// How long a target may take to accept the connection.
constexpr duration open_timeout = std::chrono::milliseconds(300);

} // namespace

answer_witness::answer_witness(entry_context& context, call_destination target,
                               std::string status_path)
    : m_context(context), m_target(std::move(target)),
      m_status_path(std::move(status_path)), m_is_opened(context.loop)
{
}

void answer_witness::keep_open()
{
    if (m_is_opening)
        return;
    if (!m_check.needs_witness() && !m_connection->is_reusable())
        m_check.note_witness_lost(m_context.now());
    if (m_check.needs_witness())
        spawn(m_context.loop, open());
}

awaitable<void> answer_witness::open()
{
    const auto self = shared_from_this();
    m_is_opening = true;
    m_connection = m_context.connection_pool.create();
    m_opened = co_await m_connection->open(m_target.address, open_timeout);
    m_is_opening = false;
    if (m_opened == target_connection::outcome::ok)
        m_check.note_witness_opened();
    m_is_opened.set();
}

awaitable<decision::answer_end> answer_witness::judge_end(duration timeout)
{
    const auto self = shared_from_this();
    const instant until = m_context.now() + timeout;
    while (m_is_opening && m_context.now() < until)
        co_await m_is_opened.wait(until - m_context.now());
    m_check.note_end(m_connection && m_connection->is_reusable(),
                     m_context.now());
    if (!m_check.needs_question())
        co_return decision::answer_end::broken_off;
    const duration left = time_until(until, m_context.now());
    const decision::life_sign sign = co_await ask(left);
    co_return m_check.judge(sign);
}

awaitable<decision::life_sign> answer_witness::ask(duration timeout)
{
    if (!m_check.asks_witness())
    {
        co_await open();
        if (m_opened == target_connection::outcome::timed_out)
            co_return decision::life_sign::silent;
        if (m_opened != target_connection::outcome::ok)
            co_return decision::life_sign::refused;
    }
    const auto question = std::make_shared<target_call>(
        m_context.connection_pool, m_context.protocol, m_target);
    question->use_connection(std::move(m_connection));
    const auto result = co_await question->send_request(
        http_request{http::verb::get, m_status_path, 11},
        m_context.call_ids.next(), timeout);
    const decision::life_sign sign = sign_of(result, *question);
    question->release_connection();
    co_return sign;
}

decision::life_sign answer_witness::sign_of(target_call::outcome result,
                                            const target_call& question) const
{
    if (result == target_call::outcome::timed_out)
        return decision::life_sign::silent;
    if (result != target_call::outcome::ok)
        return decision::life_sign::lost;
    // Some servers send this when they close an idle connection, unasked.
    if (question.head().result() == http::status::request_timeout)
        return decision::life_sign::lost;
    const response_metadata& answer = question.metadata();
    const bool is_own =
        !answer.is_misdirected &&
        (answer.target.empty() || answer.target == m_target.incarnation.id);
    return is_own ? decision::life_sign::own_answer
                  : decision::life_sign::other_answer;
}

} // namespace mangofold::serving

#pragma once

#include "decision/answer_match.hpp"
#include "decision/answers/answer_framing.hpp"
#include "runtime/address.hpp"
#include "serving/dialect.hpp"
#include "serving/received_body.hpp"
#include "serving/target_connection_pool.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace mangofold::serving
{

/// The target of a call: an incarnation of a target and its address.
struct call_destination
{
    decision::target_incarnation incarnation;
    runtime::address address;

    friend bool operator==(const call_destination&,
                           const call_destination&) = default;
};

/// Sends one request to one target and reads its answer as it arrives. Uses an
/// idle connection if there is one.
class target_call : public std::enable_shared_from_this<target_call>
{
public:
    /// Result of a step of the call.
    enum class outcome : std::uint8_t
    {
        ok,
        not_sent,        ///< No byte was sent, so the request has not run.
        connection_lost, ///< The connection was lost; the request may have run.
        timed_out,
        invalid_answer ///< The bytes received are no valid HTTP answer.
    };

    target_call(target_connection_pool& pool, const dialect& used_dialect,
                call_destination target)
        : m_pool(pool), m_dialect(used_dialect), m_target(std::move(target)),
          m_body_share(pool.bodies())
    {
    }

    /// Sets a check that is made in the moment of sending, after the wait for a
    /// connection: unless it returns true, the request is not sent.
    void set_send_check(std::function<bool()> may_send)
    {
        m_may_send = std::move(may_send);
    }

    /// Sets the largest body of an answer.
    void set_max_body_bytes(std::uint64_t bytes) { m_max_body_bytes = bytes; }

    /// Has the request sent on \a connection, which is open.
    void use_connection(connection_ptr connection)
    {
        m_connection = std::move(connection);
    }

    /// Sends \a request as the request \a id to this call's target only, and
    /// reads the head of its answer, both within \a timeout. Answers that carry
    /// another id are skipped. \a body replaces the request's own, if there is
    /// one.
    awaitable<outcome>
    send_request(http_request request, std::string id, duration timeout,
                 std::shared_ptr<const std::string> body = {});

    /// Sends \a request in a protocol without ids and addressees, and reads the
    /// head of its answer, both within \a timeout.
    awaitable<outcome> send_unaddressed(const http_request& request,
                                        duration timeout);

    /// Reads more of the answer's body unless it is complete; waits at most
    /// \a timeout.
    awaitable<outcome> read_more(duration timeout);

    /// Reads the rest of the answer's body within \a timeout.
    awaitable<outcome> read_rest(duration timeout);

    /// Returns the head of the answer, without the fields of a trailer.
    const http_response_head& head() const { return m_head; }
    const response_metadata& metadata() const { return m_metadata; }

    /// Returns the received part of the body, which this call holds.
    std::string_view body() const { return m_parser->get().body(); }

    /// Returns the received part of the body and removes it from the buffer.
    std::string take_body();

    /// Notes that \a bytes of the taken parts of the body are still held.
    /// Returns whether there is memory for them.
    bool hold(std::size_t bytes);

    /// Returns the number of bytes of the body that are buffered.
    std::size_t received_bytes() const
    {
        return m_parser ? m_parser->get().body().size() : 0;
    }
    bool is_complete() const { return m_parser && m_parser->is_done(); }

    /// Returns what marks the end of the answer.
    decision::answer_framing framing() const;

    /// Whether the answer has neither a length nor chunks, and so ends with its
    /// connection.
    bool ends_with_connection() const { return m_parser->need_eof(); }

    /// Returns the connection to the pool if it is reusable, else closes it.
    void release_connection();

    /// Closes the connection at once, so that the target stops its work.
    void abort();

    /// Notes that the answer is of no use, and that a watcher reads on and
    /// closes the connection.
    void give_up() { m_is_given_up = true; }
    bool is_given_up() const { return m_is_given_up; }

    /// Whether the answer may be another request's, so that it is not valid.
    bool is_unmatched() const { return m_is_unmatched; }

    /// Whether the target closes the connection within \a time of the end of
    /// an answer after which it is to stay open.
    awaitable<bool> is_closed_within(duration time);

    const call_destination& target() const { return m_target; }

    /// Returns when connecting was requested, for a reused connection the time
    /// of its first request.
    instant opened_at() const
    {
        return m_connection ? m_connection->opened_at : instant{};
    }

private:
    using parser = http::response_parser<received_body>;

    /// Of an answer that is passed on in parts, too.
    static constexpr std::uint64_t default_max_body_bytes = 64ULL << 20U;

    awaitable<outcome> connect(duration timeout);
    awaitable<outcome> send(const http_request& request, duration timeout,
                            std::shared_ptr<const std::string> body);
    awaitable<outcome> read_head(instant deadline);
    awaitable<outcome> skip_stray_answer(instant deadline);
    outcome parse();
    bool note_head_lines(std::string_view lines);
    outcome parse_end();
    bool share_memory(std::size_t body_bytes);
    bool make_room(std::size_t more_bytes);
    duration idle_time() const;
    void reset_parser();
    decision::answer_owner answer_owner();

    target_connection_pool& m_pool;
    const dialect& m_dialect;
    call_destination m_target;
    connection_ptr m_connection;
    std::optional<parser> m_parser;
    http_response_head m_head;
    body_memory::share m_body_share;
    std::size_t m_held_bytes = 0; ///< Of the parts that were taken.
    std::uint64_t m_max_body_bytes = default_max_body_bytes;
    response_metadata m_metadata;
    std::string m_id;
    std::function<bool()> m_may_send;
    bool m_has_no_body = false; ///< Answers to HEAD have no body.
    bool m_is_aborted = false;
    bool m_is_given_up = false;
    bool m_is_unmatched = false;
};

} // namespace mangofold::serving

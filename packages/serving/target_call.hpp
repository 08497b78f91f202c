#pragma once

#include "runtime/address.hpp"
#include "serving/dialect.hpp"
#include "serving/target_links.hpp"

#include <memory>
#include <optional>
#include <string>

namespace mangofold::serving
{

/// Where a call goes.
struct call_target
{
    decision::target_start start;
    runtime::address where;

    friend bool operator==(const call_target&, const call_target&) = default;
};

/// One request to one target, and its answer as it comes.
class target_call : public std::enable_shared_from_this<target_call>
{
public:
    enum class state : std::uint8_t
    {
        good,
        not_sent, ///< No byte of it left this process: it has not run.
        broken,   ///< It may have run.
        timed_out,
        spoiled ///< What came is no answer to it.
    };

    target_call(target_links& links, const dialect& speech, call_target target)
        : m_links(links), m_dialect(speech), m_target(std::move(target))
    {
    }

    /// Sends \a request and reads the head of its answer, within \a most.
    /// Answers that name another request than \a id are passed over.
    awaitable<state> begin(const http_request& request, std::string id,
                           duration most);

    /// Reads more of the answer's body, if it is not complete.
    awaitable<state> more(duration most);

    const http_response_head& head() const { return m_parser->get(); }
    const response_metadata& facts() const { return m_facts; }

    /// Returns the part of the body that has come and was not taken.
    std::string take_body();
    /// Returns how many bytes of the body have come and were not taken.
    std::size_t received_bytes() const
    {
        return m_parser ? m_parser->get().body().size() : 0;
    }
    bool is_complete() const { return m_parser && m_parser->is_done(); }

    /// Gives the connection back where it is in order, closes it otherwise.
    void finish();

    /// Closes the connection at once, which stops the target's work.
    void abort();

    const call_target& target() const { return m_target; }

    /// Returns when its connection was made.
    instant opened_at() const
    {
        return m_connection ? m_connection->opened_at : instant{};
    }

private:
    using parser = http::response_parser<http::string_body>;

    awaitable<state> connect(duration most);
    awaitable<state> read_head(duration most);
    awaitable<state> pass_over_stray(duration most);
    state parse();
    state parse_end();
    void fresh_parser();
    bool is_stray() const;

    target_links& m_links;
    const dialect& m_dialect;
    call_target m_target;
    connection_ptr m_connection;
    std::optional<parser> m_parser;
    response_metadata m_facts;
    std::string m_id;
    bool m_has_no_body = false; ///< A HEAD request.
    bool m_is_aborted = false;
};

} // namespace mangofold::serving

#pragma once

#include "decision/answers/end_check.hpp"
#include "serving/auto_reset_event.hpp"
#include "serving/entry_context.hpp"
#include "serving/target_call.hpp"

#include <memory>
#include <string>

namespace mangofold::serving
{

/// A second connection to the target of an answer that ends with its
/// connection, to find out after that end whether the target lives. A process
/// that is started in place of the target does not have a connection that was
/// opened before.
class answer_witness : public std::enable_shared_from_this<answer_witness>
{
public:
    /// \a status_path is a path that the target answers without running a
    /// request.
    answer_witness(entry_context& context, call_destination target,
                   std::string status_path);
    ~answer_witness() { close(); }

    answer_witness(const answer_witness&) = delete;
    answer_witness& operator=(const answer_witness&) = delete;

    /// Opens the connection in the background.
    void open();

    /// Notes that the head of the answer was read, for which the entry has
    /// waited since \a began. Opens the connection again if the target had
    /// closed it.
    void note_head(instant began);

    /// Notes a read of the answer's body, as note_head() does. Opens no two
    /// connections within a second.
    void note_read(instant began);

    /// Returns how the answer ended, whose connection has just ended in order.
    /// Waits at most \a timeout for the target.
    awaitable<decision::answer_end> judge_end(duration timeout);

    /// Ends judge_end().
    void close();

private:
    bool needs_connection() const
    {
        return !m_is_connecting && !m_check.has_witness() &&
               !m_check.may_target_have_ended();
    }
    awaitable<void> connect(duration timeout);
    static awaitable<void> watch(std::weak_ptr<answer_witness> witness,
                                 connection_ptr connection);
    awaitable<decision::life_sign> ask(instant until);
    decision::life_sign sign_of(target_call::outcome result,
                                const target_call& question) const;

    entry_context& m_context;
    call_destination m_target;
    std::string m_status_path;
    decision::end_check m_check;
    connection_ptr m_connection;
    target_connection::outcome m_connected = target_connection::outcome::ok;
    instant m_opened_at{};
    bool m_is_connecting = false;
    bool m_is_closed = false;
    bool m_is_asking = false;
    auto_reset_event m_has_connected;
};

} // namespace mangofold::serving

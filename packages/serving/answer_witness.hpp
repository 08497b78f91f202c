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
/// connection, to find out after that end whether the target lives.
class answer_witness : public std::enable_shared_from_this<answer_witness>
{
public:
    /// \a status_path is a path that the target answers without running a
    /// request.
    answer_witness(entry_context& context, call_destination target,
                   std::string status_path);

    /// Opens the connection in the background if it is not open.
    void keep_open();

    /// Returns how the answer ended, whose connection has just ended in order.
    /// Waits at most \a timeout for the target.
    awaitable<decision::answer_end> judge_end(duration timeout);

private:
    awaitable<void> open();
    awaitable<decision::life_sign> ask(duration timeout);
    decision::life_sign sign_of(target_call::outcome result,
                                const target_call& question) const;

    entry_context& m_context;
    call_destination m_target;
    std::string m_status_path;
    decision::end_check m_check;
    connection_ptr m_connection;
    target_connection::outcome m_opened = target_connection::outcome::ok;
    bool m_is_opening = false;
    auto_reset_event m_is_opened;
};

} // namespace mangofold::serving

#include "serving/given_up_runs.hpp"

namespace mangofold::serving
{

namespace
{

/// Whether the target of \a call crashes before \a until, as far as the
/// connection tells. An answer that ends with its connection and has no body
/// is what a crash after the head looks like.
awaitable<bool> crashes_before(entry_context& context, target_call& call,
                               instant until)
{
    bool has_body = !call.take_body().empty();
    while (!call.is_complete())
    {
        const duration left = until - context.now();
        if (left <= duration::zero())
            co_return false;
        const auto result = co_await call.read_more(left);
        if (result != target_call::outcome::ok)
            co_return result == target_call::outcome::connection_lost;
        has_body = !call.take_body().empty() || has_body;
    }
    if (has_body)
        co_return false;
    if (call.ends_with_connection())
        co_return true;
    const duration left = until - context.now();
    const bool is_closed = co_await call.is_closed_within(left);
    co_return is_closed;
}

} // namespace

awaitable<void> watch_given_up_run(entry_context& context,
                                   std::shared_ptr<target_call> call,
                                   target_run run, duration time)
{
    const instant until = context.now() + time;
    const bool has_crashed = co_await crashes_before(context, *call, until);
    call->abort();
    if (has_crashed)
        record_run_crash(context, run);
}

} // namespace mangofold::serving

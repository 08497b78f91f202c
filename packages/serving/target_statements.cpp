#include "serving/target_statements.hpp"

#include "runtime/event.hpp"

namespace mangofold::serving
{

namespace
{

void log_request_limit(const decision::target_incarnation& target,
                       std::optional<double> before,
                       std::optional<double> after, std::string_view from)
{
    const auto text = [](std::optional<double> limit)
    { return limit ? std::to_string(*limit) : std::string("none"); };
    runtime::event("target_limit")
        .with("target", target.id)
        .with("born", target.started_ms)
        .with("per_second", text(after))
        .with("before", text(before))
        .with("from", from)
        .info();
}

} // namespace

void record_target_statements(entry_context& context, const target_call& call,
                              instant sent_at)
{
    const response_metadata& response = call.metadata();
    // Another target responded, which says nothing about this one.
    if (response.is_misdirected)
        return;
    const decision::target_incarnation& target = call.target().incarnation;
    if (response.is_limit_unreadable)
    {
        ++context.metrics.count({"limits_unreadable", ""});
        return;
    }
    const auto before = context.request_limits.limit_of(target);
    if (context.request_limits.note_response(target, response.request_limit,
                                             sent_at, context.now()))
        log_request_limit(target, before,
                          context.request_limits.limit_of(target), "own");
}

} // namespace mangofold::serving

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

void record_request_limit(entry_context& context, const target_call& call,
                          instant sent_at)
{
    const response_metadata& response = call.metadata();
    const decision::target_incarnation& target = call.target().incarnation;
    if (response.is_limit_unreadable)
    {
        ++context.metrics.count({"limits_unreadable", ""});
        return;
    }
    const auto before = context.request_limits.limit_of(target);
    if (context.request_limits.note_response(target, response.request_limit,
                                             sent_at, context.now()))
        log_request_limit(target, before, response.request_limit, "own");
}

void record_rest(entry_context& context, const target_call& call)
{
    const response_metadata& response = call.metadata();
    if (response.is_rest_unreadable)
        ++context.metrics.count({"rests_unreadable", ""});
    if (!response.rest)
        return;
    const decision::target_incarnation& target = call.target().incarnation;
    if (context.resting_targets.note_rest(target, *response.rest,
                                          context.now()))
        runtime::event("target_rests")
            .with("target", target.id)
            .with("born", target.started_ms)
            .with("rest_ms", whole_milliseconds(*response.rest))
            .info();
}

void record_load(entry_context& context, const target_call& call)
{
    const response_metadata& response = call.metadata();
    if (response.is_load_unreadable)
        ++context.metrics.count({"loads_unreadable", ""});
    if (response.load)
        context.input_release.note_load(call.target().incarnation,
                                        *response.load, context.now());
}

void record_leaving(entry_context& context,
                    const decision::target_incarnation& target)
{
    if (context.directory.note_announced_leaving(target))
        runtime::event("target_leaving")
            .with("target", target.id)
            .with("born", target.started_ms)
            .info();
}

} // namespace

void record_target_statements(entry_context& context, const target_call& call,
                              instant sent_at)
{
    // Another target responded, which says nothing about this one.
    if (call.metadata().is_misdirected)
        return;
    if (call.metadata().is_leaving)
        record_leaving(context, call.target().incarnation);
    record_request_limit(context, call, sent_at);
    record_rest(context, call);
    record_load(context, call);
}

void merge_request_limit(entry_context& context,
                         const decision::limit_statement& statement,
                         std::string_view from)
{
    const auto before = context.request_limits.limit_of(statement.target);
    // A limit of a target that this entry does not use would never be dropped.
    if (statement.per_second &&
        context.directory.find(statement.target) == nullptr)
        return;
    if (context.request_limits.merge(statement, context.now()))
        log_request_limit(statement.target, before, statement.per_second, from);
}

} // namespace mangofold::serving

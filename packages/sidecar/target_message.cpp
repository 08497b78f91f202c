#include "sidecar/target_message.hpp"

#include <nlohmann/json.hpp>

namespace mangofold::sidecar
{

using namespace decision;

namespace
{

constexpr unsigned http_ok = 200;

nlohmann::json identity_fields(const start_run& run)
{
    return {{"account", run.key.account},
            {"request_id", run.key.request_id},
            {"stage", run.key.stage},
            {"attempt", run.attempt}};
}

stage_result failed(reason cause)
{
    return {stage_status::failed, cause, {}, {}, {}, false};
}

} // namespace

std::string run_message(const start_run& run)
{
    nlohmann::json fields = identity_fields(run);
    fields["priority"] = to_string(run.priority);
    fields["model"] = run.model;
    fields["budget_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(run.budget)
            .count();
    // The input is inserted as it is: the entry has validated it as JSON.
    std::string text = fields.dump();
    text.pop_back();
    text += ",\"input\":";
    text += run.body.empty() ? "null" : run.body;
    text += '}';
    return text;
}

std::string cancel_message(const start_run& run)
{
    return identity_fields(run).dump();
}

stage_result read_answer(const start_run& run,
                         const runtime::http_response& answer)
{
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    if (!json.is_object())
        return failed(reason::target_failed);
    if (answer.status != http_ok)
    {
        // Only the target can confirm that it did not run the work.
        const auto ran = json.find("ran");
        if (ran != json.end() && ran->is_boolean() && !ran->get<bool>())
            return refused(reason::target_down);
        return failed(reason::target_failed);
    }
    const auto request = json.find("request_id");
    const auto stage = json.find("stage");
    const auto output = json.find("output");
    if (request == json.end() || stage == json.end() || output == json.end())
        return failed(reason::target_failed);
    if (*request != run.key.request_id || *stage != run.key.stage)
        return failed(reason::misdelivered);
    return {stage_status::done, reason::none, output->dump(), {}, {}, false};
}

} // namespace mangofold::sidecar

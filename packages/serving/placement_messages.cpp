#include "serving/placement_messages.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// Number of prompt segments that are read; prompts have three or four.
constexpr int max_segments = 64;

/// Largest size of a prompt segment and of the inputs that is believed. More
/// can only be an error, and would occupy an engine in the records for good.
constexpr std::uint32_t max_tokens = 1'000'000;
constexpr std::uint64_t max_input_bytes = std::uint64_t{1} << 32U;

} // namespace

peer::Frame placement_request_frame(const placement_request& request)
{
    peer::Frame frame;
    peer::PlacementRequest& message = *frame.mutable_placement_request();
    message.set_number(request.number);
    message.set_service(request.work.service);
    for (const decision::prompt_segment& part : request.work.prompt)
    {
        peer::PromptSegment& segment = *message.add_prompt();
        segment.set_id(part.id);
        segment.set_tokens(part.tokens);
    }
    for (const auto& [zone, bytes] : request.work.inputs)
    {
        peer::ZoneInputs& inputs = *message.add_inputs();
        inputs.set_zone(zone);
        inputs.set_bytes(bytes);
    }
    message.set_zone(request.zone);
    for (const std::string& target : request.excluded)
        message.add_excluded(target);
    message.set_version(request.version);
    message.set_account_rank(request.urgency.account_rank);
    message.set_route_rank(request.urgency.route_rank);
    message.set_max_output_tokens(request.work.max_output_tokens);
    if (request.chosen)
    {
        message.set_chosen(request.chosen->id);
        message.set_chosen_born(request.chosen->started_ms);
    }
    return frame;
}

placement_request read_placement_request(const peer::PlacementRequest& message)
{
    placement_request request;
    request.number = message.number();
    request.work.service = message.service();
    for (const peer::PromptSegment& part : message.prompt())
        if (request.work.prompt.size() < max_segments)
            request.work.prompt.push_back(
                {part.id(), std::min(part.tokens(), max_tokens)});
    for (const peer::ZoneInputs& inputs : message.inputs())
        request.work.inputs[inputs.zone()] =
            std::min(inputs.bytes(), max_input_bytes);
    request.work.max_output_tokens =
        std::min(message.max_output_tokens(), max_tokens);
    request.zone = message.zone();
    request.excluded.insert(message.excluded().begin(),
                            message.excluded().end());
    request.version = message.version();
    request.urgency = {message.account_rank(), message.route_rank()};
    if (!message.chosen().empty())
        request.chosen.emplace(message.chosen(), message.chosen_born());
    return request;
}

peer::Frame generation_update_frame(std::uint64_t number,
                                    decision::generation_event event,
                                    decision::duration after)
{
    peer::Frame frame;
    peer::GenerationUpdate& message = *frame.mutable_generation_update();
    message.set_number(number);
    message.set_after_ns(after.count());
    switch (event)
    {
    case decision::generation_event::first_event:
        message.set_event(peer::GenerationUpdate::FIRST_EVENT);
        break;
    case decision::generation_event::ended:
        message.set_event(peer::GenerationUpdate::ENDED);
        break;
    case decision::generation_event::failed:
        message.set_event(peer::GenerationUpdate::FAILED);
        break;
    case decision::generation_event::refused:
        message.set_event(peer::GenerationUpdate::REFUSED);
        break;
    }
    return frame;
}

std::optional<decision::generation_event>
read_generation_event(const peer::GenerationUpdate& message)
{
    switch (message.event())
    {
    case peer::GenerationUpdate::FIRST_EVENT:
        return decision::generation_event::first_event;
    case peer::GenerationUpdate::ENDED:
        return decision::generation_event::ended;
    case peer::GenerationUpdate::FAILED:
        return decision::generation_event::failed;
    case peer::GenerationUpdate::REFUSED:
        return decision::generation_event::refused;
    default:
        return std::nullopt;
    }
}

} // namespace mangofold::serving

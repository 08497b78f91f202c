#include "wire/convert.hpp"

#include <algorithm>
#include <cstring>

namespace mangofold::wire
{

namespace
{

using decision::duration;

std::uint32_t to_ms(duration value)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

std::uint32_t to_us(duration value)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(value).count());
}

std::string to_bytes(const decision::digest& value)
{
    std::string bytes(sizeof value.high + sizeof value.low, '\0');
    std::memcpy(bytes.data(), &value.high, sizeof value.high);
    std::memcpy(bytes.data() + sizeof value.high, &value.low, sizeof value.low);
    return bytes;
}

decision::digest from_bytes(const std::string& bytes)
{
    decision::digest value;
    if (bytes.size() != sizeof value.high + sizeof value.low)
        return value;
    std::memcpy(&value.high, bytes.data(), sizeof value.high);
    std::memcpy(&value.low, bytes.data() + sizeof value.high, sizeof value.low);
    return value;
}

void to_wire(const decision::ticket& value, Ticket& message)
{
    message.set_target_id(value.target);
    message.set_incarnation(value.incarnation);
    message.set_serial(value.serial);
}

template<typename Enum>
bool is_known(std::uint32_t value, Enum last)
{
    return value <= static_cast<std::uint32_t>(last);
}

} // namespace

Load to_wire(const decision::target_load& load)
{
    Load message;
    message.set_running(load.running);
    for (const std::uint32_t queued : load.queued)
        message.add_queued(queued);
    for (const duration& expected : load.expected_latency)
        message.add_expected_us(to_us(expected));
    message.set_limit(load.limit);
    message.set_service_us(to_us(load.service_time));
    return message;
}

decision::target_load from_wire(const Load& load)
{
    decision::target_load value;
    value.running = load.running();
    value.limit = load.limit();
    value.service_time = std::chrono::microseconds(load.service_us());
    const auto class_count = std::min<std::size_t>(
        value.queued.size(), static_cast<std::size_t>(load.queued_size()));
    for (std::size_t index = 0; index < class_count; ++index)
        value.queued[index] = load.queued(static_cast<int>(index));
    return value;
}

void to_wire(const decision::submission& work, Submit& message)
{
    message.set_account(work.key.account);
    message.set_request_id(work.key.request_id);
    message.set_stage(work.key.stage);
    message.set_attempt(work.attempt);
    message.set_repeatable(work.is_repeatable);
    message.set_grant_incarnation(work.grant.incarnation);
    message.set_grant_serial(work.grant.serial);
    message.set_budget_ms(to_ms(work.budget));
    message.set_work_class(static_cast<std::uint32_t>(work.priority));
    message.set_weight(work.weight);
    message.set_model(work.model);
    message.set_body(work.body);
    message.set_request_digest(to_bytes(work.request_digest));
    message.set_pinned_incarnation(work.pinned_incarnation);
    if (work.presented_ticket)
        to_wire(*work.presented_ticket, *message.mutable_ticket());
    for (const std::string& target : work.renounced_by)
        message.add_renounced_by(target);
}

decision::submission from_wire(const Submit& message, decision::link_id link,
                               std::uint64_t generation)
{
    decision::submission work;
    work.ref = {link, message.number()};
    work.key = {message.account(), message.request_id(), message.stage()};
    work.attempt = message.attempt();
    work.is_repeatable = message.repeatable();
    work.priority =
        is_known(message.work_class(), decision::work_class::bulk)
            ? static_cast<decision::work_class>(message.work_class())
            : decision::work_class::bulk;
    work.weight = message.weight();
    work.grant = {message.grant_incarnation(), message.grant_serial()};
    work.generation = generation;
    work.budget = std::chrono::milliseconds(message.budget_ms());
    work.model = message.model();
    work.body = message.body();
    work.request_digest = from_bytes(message.request_digest());
    work.pinned_incarnation = message.pinned_incarnation();
    if (message.has_ticket())
        work.presented_ticket = decision::ticket{message.ticket().target_id(),
                                                 message.ticket().incarnation(),
                                                 message.ticket().serial()};
    work.renounced_by.assign(message.renounced_by().begin(),
                             message.renounced_by().end());
    return work;
}

void to_wire(const decision::stage_result& result, Result& message)
{
    message.set_status(static_cast<std::uint32_t>(result.status));
    message.set_reason(static_cast<std::uint32_t>(result.cause));
    message.set_retry_after_ms(to_ms(result.retry_after));
    message.set_service_us(to_us(result.service_time));
    message.set_body(result.body);
    message.set_replayed(result.is_replayed);
}

decision::stage_result from_wire(const Result& message)
{
    decision::stage_result result;
    if (is_known(message.status(), decision::stage_status::unknown))
        result.status = static_cast<decision::stage_status>(message.status());
    if (message.reason() < decision::reason_count)
        result.cause = static_cast<decision::reason>(message.reason());
    result.body = message.body();
    result.service_time = std::chrono::microseconds(message.service_us());
    result.retry_after = std::chrono::milliseconds(message.retry_after_ms());
    result.is_replayed = message.replayed();
    return result;
}

void to_wire(const decision::target_crash& crash, decision::instant now,
             TargetLost& message)
{
    const auto age =
        std::max(decision::duration::zero(), now - crash.crashed_at);
    message.set_ended_ago_us(
        std::chrono::duration_cast<std::chrono::microseconds>(age).count());
    message.set_content_high(crash.content.high);
    message.set_content_low(crash.content.low);
    message.set_born(crash.target.started_ms);
    message.set_ran_us(std::chrono::duration_cast<std::chrono::microseconds>(
                           crash.crashed_at - crash.started_at)
                           .count());
}

decision::target_crash from_wire(const TargetLost& message,
                                 const std::string& target,
                                 decision::instant now)
{
    using microseconds = std::chrono::microseconds;
    const auto zero = microseconds::zero();
    const decision::instant crashed_at =
        now - std::max(zero, microseconds(message.ended_ago_us()));
    return {{message.content_high(), message.content_low()},
            {target, message.born()},
            crashed_at - std::max(zero, microseconds(message.ran_us())),
            crashed_at};
}

} // namespace mangofold::wire

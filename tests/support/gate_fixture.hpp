#pragma once

#include "decision/concurrency_limit.hpp"
#include "decision/target_gate.hpp"

#include <optional>
#include <string>
#include <vector>

namespace mangofold::tests
{

using namespace decision;
using namespace std::chrono_literals;

/// A configured gate of target "booking-1" with one stream and a clock that
/// the test sets.
template<safeguard_set Safeguards = all_safeguards>
struct gate_fixture
{
    using gate_type = target_gate<fixed_limit, Safeguards>;

    static constexpr std::uint64_t incarnation = 11;
    static constexpr link_id entry_link = 1;

    instant now{1h};
    gate_type gate{{"booking-1", incarnation, instant{}},
                   {2s, 1000, 1U << 20U}};
    grant_ref grant;
    std::uint64_t next_number = 1;

    explicit gate_fixture(std::size_t slots = 1, std::size_t queued = 8)
    {
        configure(1, {"booking-1"}, slots, queued);
        // Long enough that no earlier target list lies within the horizon.
        now += 1h;
        grant = *gate.issue_grant(entry_link, now);
    }

    gate_effects configure(std::uint64_t generation,
                           std::vector<std::string> targets,
                           std::size_t slots = 1, std::size_t queued = 8)
    {
        gate_configuration value;
        value.generation = generation;
        value.pool_targets = std::move(targets);
        value.slots = slots;
        value.queue_limits = {0, 0, queued};
        value.start_horizon = 10s;
        value.adoption_bound = 16s;
        return gate.set_configuration(value, now);
    }

    submission make_submission(const std::string& id,
                               bool is_repeatable = false)
    {
        submission value;
        value.ref = {entry_link, next_number++};
        value.key = {"desk", id, "redeem"};
        value.attempt = 1;
        value.is_repeatable = is_repeatable;
        value.grant = grant;
        value.generation = gate.generation();
        value.budget = 2s;
        value.body = "{}";
        value.request_digest = digest_of(id);
        return value;
    }

    gate_effects submit(const submission& value)
    {
        return gate.submit(value, now);
    }
};

template<typename Effect>
std::vector<Effect> effects_of(const gate_effects& effects)
{
    std::vector<Effect> found;
    for (const gate_effect& effect : effects)
        if (const auto* match = std::get_if<Effect>(&effect))
            found.push_back(*match);
    return found;
}

/// Returns the reason of the only result in \a effects, or nothing if there
/// is not exactly one result.
inline std::optional<reason> only_reason(const gate_effects& effects)
{
    const auto results = effects_of<send_result>(effects);
    if (results.size() != 1)
        return std::nullopt;
    return results.front().result.cause;
}

inline stage_result done_result(const std::string& body)
{
    return {stage_status::done, reason::none, body, {}, {}, false};
}

} // namespace mangofold::tests

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace mangofold::decision
{

/// Identifies one run of a target, from its start to its end.
///
/// A target may restart under the same id and has then lost all state, so
/// whatever is known about a target belongs to its incarnation, not to its id.
struct target_incarnation
{
    target_incarnation() = default;

    /// \a start_time_ms distinguishes the incarnations of \a target_id.
    target_incarnation(std::string target_id, std::uint64_t start_time_ms = 0)
        : id(std::move(target_id)), started_ms(start_time_ms)
    {
    }
    target_incarnation(const char* target_id) : id(target_id) {}

    std::string id;
    /// Unix time in ms as the target reports it; 0 if it does not.
    std::uint64_t started_ms = 0;

    friend auto operator<=>(const target_incarnation&,
                            const target_incarnation&) = default;
};

} // namespace mangofold::decision

template<>
struct std::hash<mangofold::decision::target_incarnation>
{
    std::size_t operator()(
        const mangofold::decision::target_incarnation& value) const noexcept
    {
        constexpr std::uint64_t odd = 0x9e3779b97f4a7c15;
        return std::hash<std::string>()(value.id) ^ (value.started_ms * odd);
    }
};

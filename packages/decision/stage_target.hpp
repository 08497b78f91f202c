#pragma once

#include "decision/target_incarnation.hpp"
#include "decision/time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace mangofold::decision
{

/// What a gatherer believes of one target of a stage service.
struct stage_target
{
    target_incarnation start;
    std::string zone;
    std::uint32_t running = 0;  ///< Own calls under way.
    instant free_at{};          ///< When they should be done.
    double slowness = 1;        ///< Time taken against time expected.
    instant called_at{};        ///< The newest call's end.
    std::uint32_t failures = 0; ///< In a row.
    instant aside_until{};
    std::uint64_t reserved_bytes = 0; ///< Of calls under way.
    struct kept_result
    {
        std::uint64_t bytes = 0;
        instant ends{}; ///< When its maker drops it by itself.
    };
    std::map<std::string, kept_result> kept;
    std::uint64_t kept_bytes = 0;

    /// Forgets the results that the maker has dropped by now.
    void drop_ended(instant now);
    void keep(const std::string& handle, std::uint64_t bytes, instant ends);
    void release(const std::string& handle);
};

} // namespace mangofold::decision

#include "entry/outcome.hpp"

#include <array>

namespace mangofold::entry
{

std::string_view to_string(outcome_kind value)
{
    constexpr std::array<std::string_view, 6> names{
        "answered", "refused",         "failed",
        "unknown",  "deadline_passed", "malformed"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace mangofold::entry

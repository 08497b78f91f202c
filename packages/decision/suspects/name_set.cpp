#include "decision/suspects/name_set.hpp"

#include "decision/digest.hpp"

namespace mangofold::decision
{

name_set name_set::of(std::string_view name)
{
    constexpr std::uint64_t bits = 64;
    return name.empty()
               ? name_set()
               : name_set(std::uint64_t{1} << (digest_of(name).low % bits));
}

} // namespace mangofold::decision

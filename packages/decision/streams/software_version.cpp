#include "decision/streams/software_version.hpp"

#include "decision/digest.hpp"

namespace mangofold::decision
{

std::string bounded_version(std::string_view version)
{
    constexpr std::size_t max_length = 64;
    return version.size() <= max_length ? std::string(version)
                                        : to_text(digest_of(version));
}

} // namespace mangofold::decision

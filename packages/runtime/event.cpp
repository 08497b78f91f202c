#include "runtime/event.hpp"

namespace mangofold::runtime
{

std::string escaped(std::string_view text)
{
    std::string safe;
    safe.reserve(text.size());
    for (const char one : text)
    {
        if (one == '"' || one == '\\')
            safe += '\\';
        if (one == '\n')
            safe += "\\n";
        else if (static_cast<unsigned char>(one) >= 0x20)
            safe += one;
    }
    return safe;
}

} // namespace mangofold::runtime

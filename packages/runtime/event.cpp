#include "runtime/event.hpp"

namespace mangofold::runtime
{

std::string escaped(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    for (const char character : text)
    {
        if (character == '"' || character == '\\')
            result += '\\';
        if (character == '\n')
            result += "\\n";
        else if (static_cast<unsigned char>(character) >= 0x20)
            result += character;
    }
    return result;
}

} // namespace mangofold::runtime

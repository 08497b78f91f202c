#include "runtime/address.hpp"

#include <arpa/inet.h>

namespace mangofold::runtime
{

address address::parse(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    const std::string error =
        "'" + text + "' is not an IPv4 address and port such as 127.0.0.1:7101";
    if (colon == std::string::npos)
        throw address_error(error);
    const std::string host = text.substr(0, colon);
    const std::string port = text.substr(colon + 1);
    in_addr parsed{};
    if (inet_pton(AF_INET, host.c_str(), &parsed) != 1)
        throw address_error(error);
    if (port.empty() || port.size() > 5 ||
        port.find_first_not_of("0123456789") != std::string::npos)
        throw address_error(error);
    const unsigned long number = std::stoul(port);
    if (number == 0 || number > UINT16_MAX)
        throw address_error(error);
    return {host, static_cast<std::uint16_t>(number)};
}

} // namespace mangofold::runtime

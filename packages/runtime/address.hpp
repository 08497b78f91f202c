#pragma once

#include <compare>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace mangofold::runtime
{

/// Thrown for a text that is not a valid address.
class address_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// An IPv4 address and a TCP port.
struct address
{
    std::string host;
    std::uint16_t port = 0;

    /// Returns the address in \a text, "IP:port". Throws address_error.
    static address parse(const std::string& text);

    /// Returns the address as "IP:port".
    std::string text() const { return host + ":" + std::to_string(port); }

    friend auto operator<=>(const address&, const address&) = default;
};

} // namespace mangofold::runtime

#pragma once

#include <array>
#include <charconv>
#include <cstdint>
#include <string>

namespace mangofold::serving
{

/// The ids of the requests that this process sends to targets on its own
/// behalf. Targets are shared with other processes, and with the one that ran
/// here before, so \a incarnation must be a random number of this process.
class call_ids
{
public:
    explicit call_ids(std::uint64_t incarnation)
        : m_prefix(to_digits(incarnation))
    {
    }

    /// Returns an id that no other call of any process has.
    std::string next() { return m_prefix + to_digits(++m_last); }

private:
    static std::string to_digits(std::uint64_t number)
    {
        constexpr int hexadecimal = 16;
        std::array<char, 2 * sizeof number> digits{};
        const auto result = std::to_chars(
            digits.data(), digits.data() + digits.size(), number, hexadecimal);
        // Of one length, or two prefixes and numbers could make up one id.
        std::string text(digits.data(), result.ptr);
        return text.insert(0, digits.size() - text.size(), '0');
    }

    std::string m_prefix;
    std::uint64_t m_last = 0;
};

} // namespace mangofold::serving

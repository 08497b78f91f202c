#pragma once

#include <cstdint>
#include <limits>

namespace mangofold::decision
{

/// Seeded pseudorandom number generator (splitmix64), so that decisions are
/// reproducible in tests.
class random_source
{
public:
    using result_type = std::uint64_t;

    explicit random_source(std::uint64_t seed) : m_state(seed) {}

    static constexpr result_type min() { return 0; }
    static constexpr result_type max()
    {
        return std::numeric_limits<result_type>::max();
    }

    result_type operator()();

    /// Returns a number below \a bound, which must not be 0.
    std::uint64_t below(std::uint64_t bound) { return (*this)() % bound; }

    /// Returns a number in [0, 1).
    double fraction();

private:
    std::uint64_t m_state;
};

inline random_source::result_type random_source::operator()()
{
    m_state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = m_state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

inline double random_source::fraction()
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>((*this)() >> 11U) * scale;
}

} // namespace mangofold::decision

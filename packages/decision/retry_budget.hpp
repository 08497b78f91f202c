#pragma once

#include <algorithm>

namespace mangofold::decision
{

/// Lets retries be a bounded share of the first attempts, so that a failing
/// stage does not multiply its own load.
class retry_budget
{
public:
    retry_budget(double share, double reserve)
        : m_share(share), m_reserve(reserve), m_tokens(reserve)
    {
    }

    /// Notes a first attempt, which earns a share of a retry.
    void first_sent() { m_tokens = std::min(m_tokens + m_share, m_reserve); }

    /// Whether a retry can be taken.
    bool has_one() const { return m_tokens >= 1; }

    /// Takes one retry. Returns whether there was one.
    bool take();

private:
    double m_share;
    double m_reserve;
    double m_tokens;
};

inline bool retry_budget::take()
{
    if (!has_one())
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace mangofold::decision

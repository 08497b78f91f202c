#pragma once

#include <algorithm>

namespace mangofold::decision
{

/// Limits retries to a share of the first attempts, so that the retries of a
/// failing stage do not multiply its load.
class retry_budget
{
public:
    /// Each first attempt adds \a share of a retry, up to \a reserve retries,
    /// with which the budget starts.
    retry_budget(double share, double reserve)
        : m_share(share), m_reserve(reserve), m_tokens(reserve)
    {
    }

    /// Records a first attempt.
    void note_first_attempt()
    {
        m_tokens = std::min(m_tokens + m_share, m_reserve);
    }

    /// Whether the budget allows a retry.
    bool has_retry() const { return m_tokens >= 1; }

    /// Spends one retry. Returns whether the budget allowed it.
    bool try_spend();

    /// Takes back a retry that was spent and reached no target.
    void take_back() { m_tokens = std::min(m_tokens + 1, m_reserve); }

private:
    double m_share;
    double m_reserve;
    double m_tokens;
};

inline bool retry_budget::try_spend()
{
    if (!has_retry())
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace mangofold::decision

#pragma once

#include "decision/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace mangofold::decision
{

/// What one client account may send through all entries.
struct account_rate
{
    double per_s = 0; ///< 0 sets no limit.
    double burst = 0;

    friend auto operator<=>(const account_rate&, const account_rate&) = default;
};

/// Holds each client account to this entry's share of its rate. Entries share
/// no counter: each takes an equal part, as many as it believes there are.
class account_limiter
{
public:
    /// Takes one request of \a account. Returns nothing where it may pass,
    /// otherwise the time until the next one may.
    std::optional<duration> take(const std::string& account,
                                 const account_rate& rate, double entries,
                                 instant now);

    std::size_t size() const { return m_buckets.size(); }

private:
    struct bucket
    {
        double tokens;
        instant filled_at;
    };

    std::map<std::string, bucket> m_buckets;
};

/// Returns how many entries there are, from how many one sidecar sees on
/// average: each sidecar sees the entries that chose it, and each entry
/// chooses \a links of \a sidecars.
double estimated_entries(double seen_by_one, std::size_t sidecars,
                         std::size_t links);

} // namespace mangofold::decision

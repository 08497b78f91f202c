#pragma once

#include "decision/time.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace mangofold::decision
{

/// The request rate that a client account may reach over all entries.
struct account_rate
{
    double per_s = 0; ///< Requests per second; 0 sets no limit.
    double burst = 0; ///< Requests that may come at once.

    friend auto operator<=>(const account_rate&, const account_rate&) = default;
};

/// Limits each client account to this entry's share of its rate with a token
/// bucket. Entries share no counters: each one enforces the rate divided by
/// its estimate of the number of entries.
class account_limiter
{
public:
    /// Counts one request of \a account. Returns nothing if the request is
    /// admitted, otherwise the time until the next request can be.
    std::optional<duration> throttle(const std::string& account,
                                     const account_rate& rate, double entries,
                                     instant now);

    std::size_t size() const { return m_buckets.size(); }

private:
    struct token_bucket
    {
        double tokens;
        instant refilled_at;
    };

    std::map<std::string, token_bucket> m_buckets;
};

/// Returns the estimated number of entries. Each entry connects to
/// \a links_per_entry of the \a sidecars, and each sidecar counts the entries
/// connected to it: \a mean_entries_seen on average.
double estimated_entry_count(double mean_entries_seen, std::size_t sidecars,
                             std::size_t links_per_entry);

} // namespace mangofold::decision

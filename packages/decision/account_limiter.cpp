#include "decision/account_limiter.hpp"

#include <algorithm>

namespace mangofold::decision
{

std::optional<duration> account_limiter::throttle(const std::string& account,
                                                  const account_rate& rate,
                                                  double entries, instant now)
{
    if (rate.per_s <= 0)
        return std::nullopt;
    const double share = rate.per_s / std::max(entries, 1.0);
    // A bucket below one token would never admit a request.
    const double burst = std::max(rate.burst / std::max(entries, 1.0), 1.0);
    const auto [found, is_new] =
        m_buckets.try_emplace(account, token_bucket{burst, now});
    token_bucket& bucket = found->second;
    const double elapsed_s =
        std::chrono::duration<double>(now - bucket.refilled_at).count();
    bucket.tokens = std::min(burst, bucket.tokens + elapsed_s * share);
    bucket.refilled_at = now;
    if (bucket.tokens >= 1)
    {
        bucket.tokens -= 1;
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>((1 - bucket.tokens) / share));
}

double estimated_entry_count(double mean_entries_seen, std::size_t sidecars,
                             std::size_t links_per_entry)
{
    if (links_per_entry == 0)
        return 1;
    const double sidecar_count = static_cast<double>(sidecars);
    return std::max(1.0, mean_entries_seen * sidecar_count /
                             static_cast<double>(links_per_entry));
}

} // namespace mangofold::decision

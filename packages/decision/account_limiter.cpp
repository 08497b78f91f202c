#include "decision/account_limiter.hpp"

#include <algorithm>

namespace mangofold::decision
{

std::optional<duration> account_limiter::take(const std::string& account,
                                              const account_rate& rate,
                                              double entries, instant now)
{
    if (rate.per_s <= 0)
        return std::nullopt;
    const double share = rate.per_s / std::max(entries, 1.0);
    // At least one request fits, or a small share would let none pass.
    const double burst = std::max(rate.burst / std::max(entries, 1.0), 1.0);
    const auto [found, is_new] =
        m_buckets.try_emplace(account, bucket{burst, now});
    bucket& own = found->second;
    const double elapsed_s =
        std::chrono::duration<double>(now - own.filled_at).count();
    own.tokens = std::min(burst, own.tokens + elapsed_s * share);
    own.filled_at = now;
    if (own.tokens >= 1)
    {
        own.tokens -= 1;
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>((1 - own.tokens) / share));
}

double estimated_entries(double seen_by_one, std::size_t sidecars,
                         std::size_t links)
{
    if (links == 0)
        return 1;
    const double all = static_cast<double>(sidecars);
    return std::max(1.0, seen_by_one * all / static_cast<double>(links));
}

} // namespace mangofold::decision

#pragma once

#include "decision/digest.hpp"
#include "decision/stage_result.hpp"
#include "decision/time.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace mangofold::decision
{

/// Remembers which non-repeatable stages this process accepted, and how they
/// ended. Memory is bounded: when it is full, new keys are refused.
class execution_ledger
{
public:
    enum class state : std::uint8_t
    {
        open,      ///< Accepted, not ended.
        ended,     ///< Ended, the outcome is held.
        forgotten, ///< Ended, the outcome is no longer held.
        renounced  ///< Never ran and never will in this process.
    };

    struct bounds
    {
        duration horizon;           ///< How long an outcome is held.
        std::size_t max_keys;       ///< Keys of any state.
        std::size_t max_body_bytes; ///< Bytes of all held outcomes.

        friend bool operator==(const bounds&, const bounds&) = default;
    };

    struct record
    {
        state status = state::open;
        digest request;  ///< Digest of the caller's request.
        instant since{}; ///< When it was accepted, or when it ended.
        stage_result outcome;
    };

    explicit execution_ledger(bounds limits) : m_bounds(limits) {}

    /// Returns what is known of \a key, or nothing.
    const record* find(const digest& key) const;

    /// Whether \a key could be noted now; makes room where that is safe.
    bool has_room(instant now);

    /// Notes that \a key was accepted.
    void open(const digest& key, const digest& request, instant now);

    /// Notes how \a key ended.
    void end(const digest& key, const stage_result& outcome, instant now);

    /// Drops \a key, which was accepted but never started.
    void withdraw(const digest& key) { m_records.erase(key); }

    /// Notes that this process will never run \a key.
    void renounce(const digest& key, instant now);

    /// Drops the outcomes that are older than the horizon.
    void drop_old_outcomes(instant now);

    void set_horizon(duration horizon) { m_bounds.horizon = horizon; }

    std::size_t size() const { return m_records.size(); }
    std::size_t body_bytes() const { return m_body_bytes; }

private:
    bool evict_oldest(instant now);
    void note_age(const digest& key, instant now);

    struct aged
    {
        digest key;
        instant at;
    };

    bounds m_bounds;
    std::size_t m_body_bytes = 0;
    std::unordered_map<digest, record, digest_hash> m_records;
    std::deque<aged> m_with_outcome; ///< By age, for dropping outcomes.
    std::deque<aged> m_evictable;    ///< By age, for dropping keys.
};

} // namespace mangofold::decision

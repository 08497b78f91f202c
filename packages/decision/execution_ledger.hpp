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

/// Records the non-repeatable stages that this process accepted, and their
/// outcomes. A resend is answered from the ledger, so that each stage runs at
/// most once. Memory is bounded: a full ledger refuses new keys.
class execution_ledger
{
public:
    enum class state : std::uint8_t
    {
        in_progress, ///< Accepted and not ended.
        ended,       ///< Ended, the outcome is stored.
        forgotten,   ///< Ended, the outcome is no longer stored.
        renounced    ///< Did not run and never will in this process.
    };

    struct bounds
    {
        duration horizon;           ///< How long an outcome is stored.
        std::size_t max_keys;       ///< Keys in any state.
        std::size_t max_body_bytes; ///< Bytes of all stored outcomes.

        friend bool operator==(const bounds&, const bounds&) = default;
    };

    struct record
    {
        state status = state::in_progress;
        digest request_digest; ///< Digest of the caller's request.
        instant since{};       ///< When accepted, renounced or ended.
        stage_result outcome;
    };

    explicit execution_ledger(bounds limits) : m_bounds(limits) {}

    /// Returns the record of \a key, or nullptr.
    const record* find(const digest& key) const;

    /// Whether another key fits. Evicts keys that are old enough first.
    bool make_room(instant now);

    /// Records that \a key was accepted.
    void add(const digest& key, const digest& request_digest, instant now);

    /// Records the outcome of \a key.
    void set_outcome(const digest& key, const stage_result& outcome,
                     instant now);

    /// Removes \a key, which was accepted but never ran.
    void remove(const digest& key) { m_records.erase(key); }

    /// Records that this process will never run \a key.
    void renounce(const digest& key, instant now);

    /// Drops the outcomes that are older than the horizon. Their keys stay.
    void drop_expired_outcomes(instant now);

    void set_horizon(duration horizon) { m_bounds.horizon = horizon; }

    std::size_t size() const { return m_records.size(); }
    std::size_t body_bytes() const { return m_body_bytes; }

private:
    bool evict_oldest(instant now);
    void add_evictable(const digest& key, instant now);

    struct timed_key
    {
        digest key;
        instant at;
    };

    bounds m_bounds;
    std::size_t m_body_bytes = 0;
    std::unordered_map<digest, record, digest_hash> m_records;
    std::deque<timed_key> m_keys_with_outcome; ///< Oldest first.
    std::deque<timed_key> m_evictable_keys;    ///< Oldest first.
};

} // namespace mangofold::decision

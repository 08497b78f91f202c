#pragma once

#include "decision/target_end.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace mangofold::decision
{

/// The ends of targets that all entries together know of, by the requests that
/// were in progress there.
///
/// Entries tell each other what they know, in any order and more than once:
/// what is known only grows, and refuted stays refuted, so all come to know
/// the same.
class target_ends
{
public:
    /// How long an end is remembered.
    static constexpr duration lifetime = std::chrono::hours(1);

    /// Ends remembered at most, some 350 bytes each. Each end of a target adds
    /// one for each request that was in progress there.
    static constexpr std::size_t most = 4096;

    /// Notes an end, seen here or told by another entry. Returns whether it
    /// was news.
    bool note(const target_end& one, instant now);

    /// Notes that a run of \a content came to its end and its target lived on:
    /// what is known against it is refuted. Returns how many ends were.
    std::size_t note_survived(const digest& content);

    /// Notes that an answer came from \a target at \a now on a connection made
    /// at \a opened: ends in between are refuted, since a process that had
    /// ended would have taken the connection with it. Returns how many were.
    std::size_t note_alive(const target_start& target, instant opened,
                           instant now);

    /// Whether \a target had ended before \a then, as far as is known, and
    /// has given no answer since.
    bool has_ended(const target_start& target, instant then) const;

    /// What speaks against a request.
    struct finding
    {
        /// Runs that ended their targets, none of them beside another.
        std::size_t ends = 0;
        instant last{}; ///< The newest end.
        std::vector<target_start> targets;

        friend bool operator==(const finding&, const finding&) = default;
    };
    finding against(const digest& content) const;

    /// Returns how many requests at least \a ends speak against.
    std::size_t contents_with(std::size_t ends) const;

    /// Returns at most \a count ends that became known after the change
    /// numbered \a told, which is set to the last one returned.
    std::vector<target_end> since(std::uint64_t& told, std::size_t count,
                                  instant now) const;

    /// Returns a number that differs where two entries know different ends.
    std::uint64_t summary() const { return m_summary; }

    std::size_t size() const { return m_by_change.size(); }
    bool is_empty() const { return m_by_change.empty(); }

    /// Forgets what is too old.
    void expire(instant now);

private:
    using by_target = std::map<target_start, std::uint64_t>;

    /// The requests that were in progress when a target ended.
    struct suspects
    {
        std::unordered_set<digest, digest_hash> contents;
        instant alive_at{}; ///< The newest answer since.
    };

    void add(const target_end& one);
    void remove(std::uint64_t change);
    bool refute(std::uint64_t change);
    void make_room();

    std::map<std::uint64_t, target_end> m_by_change; ///< In order of news.
    std::unordered_map<digest, by_target, digest_hash> m_by_content;
    std::unordered_map<target_start, suspects> m_by_target;
    std::uint64_t m_changes = 0;
    std::uint64_t m_summary = 0;
    instant m_forgotten{}; ///< The newest end forgotten to make room.
};

} // namespace mangofold::decision

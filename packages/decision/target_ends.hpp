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
    std::size_t note_alive(const target_incarnation& target, instant opened,
                           instant now);

    /// Whether \a target had ended before \a then, as far as is known, and
    /// has given no answer since.
    bool has_ended(const target_incarnation& target, instant then) const;

    /// A run that ended its target, or several at one moment.
    struct occasion
    {
        instant began{};
        instant ended{};
        /// Another request of several ends was at each of these targets.
        bool is_shared = false;

        friend bool operator==(const occasion&, const occasion&) = default;
    };

    /// An entry where a request waits to be tried.
    struct claim
    {
        std::string by;
        instant at{};

        friend bool operator==(const claim&, const claim&) = default;
    };

    /// What speaks against a request.
    struct finding
    {
        std::vector<occasion> occasions; ///< The oldest first, none overlap.
        std::vector<target_incarnation> targets;
        instant last{};            ///< The newest end.
        std::vector<claim> claims; ///< To try it, since the newest end.

        std::size_t ends() const { return occasions.size(); }
        std::size_t shared() const;

        friend bool operator==(const finding&, const finding&) = default;
    };
    finding against(const digest& content) const;

    /// Returns when the newest end happened, refuted or not.
    instant newest() const { return m_newest; }

    /// Returns the requests that entries claimed to try after \a then, sorted.
    std::vector<digest> claimed_since(instant then) const;

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
    using by_target = std::map<target_incarnation, std::uint64_t>;

    /// The requests that were in progress when a target ended.
    struct suspects
    {
        std::unordered_set<digest, digest_hash> contents;
        instant alive_at{}; ///< The newest answer since.
    };

    /// Returns the ends that speak against \a content, the oldest first.
    std::vector<const target_end*> unrefuted(const digest& content) const;
    bool is_shared(const target_end& one) const;
    void add(const target_end& one);
    void remove(std::uint64_t change);
    void replace(std::uint64_t change, const target_end& one);
    bool merge(std::uint64_t change, const target_end& other);
    bool refute(std::uint64_t change);
    void make_room();

    std::map<std::uint64_t, target_end> m_by_change; ///< In order of news.
    std::unordered_map<digest, by_target, digest_hash> m_by_content;
    std::unordered_map<target_incarnation, suspects> m_by_target;
    std::uint64_t m_changes = 0;
    std::uint64_t m_summary = 0;
    instant m_newest{};
    instant m_forgotten{}; ///< The newest end forgotten to make room.
};

} // namespace mangofold::decision

#pragma once

#include "decision/ordinal.hpp"
#include "decision/random_source.hpp"
#include "decision/target_directory.hpp"
#include "decision/target_incarnation.hpp"
#include "decision/time.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace mangofold::decision
{

/// What an entry knows of the other entries that may send to the same target.
struct fleet_position
{
    ordinal own; ///< Of this entry among the live ones, for one target.
    std::size_t known_entries = 1; ///< Including those that do not answer.

    friend bool operator==(const fleet_position&,
                           const fleet_position&) = default;
};

/// What a target stated about the request rate that it accepts.
struct limit_statement
{
    target_incarnation target;
    std::optional<double> per_second; ///< Nothing: its limit has ended.
    instant stated_at{};

    friend bool operator==(const limit_statement&,
                           const limit_statement&) = default;
};

/// Limits the request rate to targets that state a limit in their responses.
///
/// A limit applies to the requests of all entries together, until the target
/// responds without it to any entry, or until no response has confirmed it for
/// long. Each entry keeps to a share of its own, so that no entry needs to know
/// what the others send.
class request_limits
{
public:
    /// Returns the position of this entry for the target with the given id, or
    /// nothing while the size of the fleet is unknown.
    using position_source =
        std::function<std::optional<fleet_position>(const std::string&)>;

    /// Which entries send to a target.
    enum class senders : std::uint8_t
    {
        all_entries,
        this_entry ///< Such as the one that batches the calls of a service.
    };

    explicit request_limits(std::uint64_t seed = 0) : m_random(seed) {}

    void set_position_source(position_source source)
    {
        m_position_of = std::move(source);
    }

    /// Notes that the response of \a target to a request sent at \a sent_at
    /// stated the limit \a per_second, or none. Returns whether that changed
    /// the known limit.
    bool note_response(const target_incarnation& target,
                       std::optional<double> per_second, instant sent_at,
                       instant now);

    /// Applies what another entry knows, unless this entry knows something
    /// newer. Returns whether that changed the known limit.
    bool merge(const limit_statement& statement, instant now);

    /// Returns what this entry knows, to send to others: the limits, and those
    /// that ended lately.
    std::vector<limit_statement> statements() const;

    /// Returns a digest of the limits, which shows whether two entries know the
    /// same ones.
    std::uint64_t digest() const;

    /// Returns the limit of \a target in requests per second, if it has one.
    std::optional<double> limit_of(const target_incarnation& target) const;

    /// Returns when this entry may send the next request to \a target: \a now
    /// if the target has no limit, instant::max() if only other entries send
    /// to it.
    instant next_send(const target_incarnation& target, senders by,
                      instant now);

    /// Notes that a request was sent to \a target.
    void note_sent(const target_incarnation& target, instant now);

    /// Returns the interval between requests of this entry to \a target; zero
    /// if the target has no limit or this entry sends it nothing.
    duration interval(const target_incarnation& target, senders by,
                      instant now);

    /// Whether any target has a limit.
    bool has_any() const { return !m_targets.empty(); }

    /// Returns the number of targets that have a limit.
    std::size_t size() const { return m_targets.size(); }

    /// Removes the limits that no response has confirmed for long.
    void expire(instant now);

    /// Removes the limits of targets that may not get requests any more.
    void retain(const target_directory& targets);

private:
    struct state
    {
        double per_second = 0;
        instant stated_at{};
        double lifetime_factor = 1; ///< Differs between entries.
        /// The next request may be sent one interval after this time.
        std::optional<instant> interval_start;
        std::optional<fleet_position> position; ///< Cached.
        instant position_at{};
    };

    std::optional<duration> interval_of(const std::string& id, state& limit,
                                        senders by, instant now);

    bool set(const target_incarnation& target, double per_second,
             instant stated_at);
    bool end(const target_incarnation& target, instant stated_at);
    duration lifetime(const state& limit) const;

    std::unordered_map<target_incarnation, state> m_targets;
    /// When limits ended, so that older statements of them have no effect.
    std::unordered_map<target_incarnation, instant> m_ended;
    position_source m_position_of = [](const std::string&)
    { return std::optional(fleet_position()); };
    random_source m_random;
};

} // namespace mangofold::decision

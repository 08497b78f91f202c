#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangofold::serving
{

/// Splits the bytes of a text/event-stream into complete events and checks that
/// their ids are consecutive. Only complete events are passed on, so that a
/// caller never sees part of an event whose target failed in the middle of it.
class event_stream
{
public:
    /// If given, \a last is the id of the last event of an interrupted stream
    /// that this one resumes.
    explicit event_stream(std::optional<std::uint64_t> last = std::nullopt)
        : m_last_id(last)
    {
    }

    /// Largest event; the targets' events hold a few tokens each.
    static constexpr std::size_t max_event_bytes = 256U << 10U;

    /// Appends \a bytes to the stream. Returns the events that are complete
    /// now, or nothing if one of them is out of order.
    std::string add(std::string_view bytes);

    /// Whether the stream is at the boundary of two events.
    bool is_between_events() const { return m_incomplete.empty(); }

    /// Whether an event was received out of order: one is missing or was
    /// received twice.
    bool is_out_of_order() const { return m_is_out_of_order; }

    /// Whether the incomplete event is longer than any event may be.
    bool is_too_long() const { return m_incomplete.size() > max_event_bytes; }

    /// Returns the memory that the incomplete event takes.
    std::size_t held_bytes() const { return m_incomplete.capacity(); }

    /// Returns the id of the last complete event that has one, if any.
    std::optional<std::uint64_t> last_id() const { return m_last_id; }

private:
    /// Returns the position after the next complete event, or npos.
    std::size_t next_event_end();

    /// Checks the id of \a event against the id of its predecessor.
    void check_id(std::string_view event);

    std::string m_incomplete;
    std::size_t m_line_start = 0; ///< Of the last line of m_incomplete.
    std::size_t m_searched = 0;   ///< Where no line ends after that.
    std::optional<std::uint64_t> m_last_id;
    bool m_is_out_of_order = false;
};

} // namespace mangofold::serving

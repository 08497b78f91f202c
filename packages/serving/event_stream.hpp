#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace mangofold::serving
{

/// Cuts the bytes of an event stream into whole events, so that a caller
/// never sees a part of one that its target did not finish.
class event_stream
{
public:
    /// Goes on after the event \a last, where an earlier run was broken off.
    explicit event_stream(std::optional<std::uint64_t> last = std::nullopt)
        : m_last(last)
    {
    }

    /// Adds \a bytes. Returns the whole events among what has come.
    std::string add(std::string_view bytes);

    /// Whether every event that began has ended.
    bool is_between_events() const { return m_rest.empty(); }

    /// Whether an event came out of order: one is missing or came twice.
    bool is_out_of_order() const { return m_is_out_of_order; }

    /// Returns the number of the last whole event.
    std::optional<std::uint64_t> last() const { return m_last; }

private:
    void note(std::string_view event);

    std::string m_rest;
    std::optional<std::uint64_t> m_last;
    bool m_is_out_of_order = false;
};

} // namespace mangofold::serving

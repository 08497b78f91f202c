#include "serving/event_stream.hpp"

#include <charconv>

namespace mangofold::serving
{

namespace
{

/// Returns the position after the first empty line at or after \a from, which
/// is the start of a line, or npos. An empty line outside an event counts too,
/// so that an extra one at the end of a stream is not taken for an incomplete
/// event.
std::size_t event_end(std::string_view text, std::size_t from)
{
    std::size_t line_start = from;
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', line_start))
    {
        const std::string_view content =
            text.substr(line_start, at - line_start);
        line_start = at + 1;
        if (content.empty() || content == "\r")
            return line_start;
    }
    return std::string_view::npos;
}

} // namespace

std::string event_stream::add(std::string_view bytes)
{
    m_incomplete.append(bytes);
    std::size_t end = 0;
    for (std::size_t next = event_end(m_incomplete, 0);
         next != std::string_view::npos; next = event_end(m_incomplete, end))
    {
        check_id(std::string_view(m_incomplete).substr(end, next - end));
        end = next;
        if (m_is_out_of_order)
            return {};
    }
    std::string events = m_incomplete.substr(0, end);
    m_incomplete.erase(0, end);
    return events;
}

void event_stream::check_id(std::string_view event)
{
    constexpr std::string_view prefix = "id:";
    for (std::size_t at = 0; at < event.size();)
    {
        const std::size_t end = std::min(event.find('\n', at), event.size());
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(prefix))
            continue;
        line.remove_prefix(prefix.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [rest, fault] =
            std::from_chars(line.data(), line.data() + line.size(), id);
        if (fault != std::errc())
            return;
        m_is_out_of_order = m_last_id && id != *m_last_id + 1;
        if (!m_is_out_of_order)
            m_last_id = id;
        return;
    }
}

} // namespace mangofold::serving

#include "serving/event_stream.hpp"

#include <charconv>

namespace mangofold::serving
{

// An empty line outside an event counts too, so that an extra one at the end of
// a stream is not taken for an incomplete event. Bytes are searched once: an
// event that arrives in small parts would otherwise take time in the square of
// its length.
std::size_t event_stream::next_event_end()
{
    for (std::size_t at = m_incomplete.find('\n', m_searched);
         at != std::string::npos; at = m_incomplete.find('\n', m_searched))
    {
        const std::string_view content =
            std::string_view(m_incomplete)
                .substr(m_line_start, at - m_line_start);
        m_line_start = m_searched = at + 1;
        if (content.empty() || content == "\r")
            return m_line_start;
    }
    m_searched = m_incomplete.size();
    return std::string::npos;
}

std::string event_stream::add(std::string_view bytes)
{
    m_incomplete.append(bytes);
    std::size_t end = 0;
    for (std::size_t next = next_event_end(); next != std::string::npos;
         next = next_event_end())
    {
        check_id(std::string_view(m_incomplete).substr(end, next - end));
        end = next;
        if (m_is_out_of_order)
            return {};
    }
    std::string events = m_incomplete.substr(0, end);
    m_incomplete.erase(0, end);
    m_line_start -= end;
    m_searched -= end;
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

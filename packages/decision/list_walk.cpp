#include "decision/list_walk.hpp"

#include <algorithm>

namespace mangofold::decision
{

namespace
{

/// Part of the adoption time after which changes are followed beside a page
/// that fails: the rest is enough for a watch.
constexpr int stall_divisor = 2;

/// The pause before a stalled page is requested again grows with the time for
/// which it has failed, up to this many adoption times.
constexpr int retry_divisor = 2;
constexpr int max_retry_factor = 10;
constexpr duration min_retry_pause = std::chrono::milliseconds(300);

constexpr char first_visible = '!';
constexpr char last_visible = '~';

bool is_visible(char c)
{
    return c >= first_visible && c <= last_visible;
}

/// Returns a position of visible characters behind all keys that begin with the
/// first \a size + 1 bytes of \a key, or nothing if there is none.
std::optional<std::string> position_behind(const std::string& key,
                                           std::size_t size)
{
    for (std::size_t end = size + 1; end > 0; --end)
    {
        const auto byte = static_cast<unsigned char>(key[end - 1]);
        if (byte < static_cast<unsigned char>(last_visible))
            return key.substr(0, end - 1) +
                   std::max(first_visible, static_cast<char>(byte + 1));
    }
    return std::nullopt;
}

} // namespace

bool list_walk::note_page(const std::string& last_key, bool has_more)
{
    if (has_more && (last_key.empty() || last_key == m_position ||
                     m_positions.contains(last_key)))
        return false;
    m_positions.insert(m_position);
    m_position = last_key;
    m_is_done = !has_more;
    ++m_pages;
    m_failing_since.reset();
    m_refused_since.reset();
    m_skips = 0;
    return true;
}

void list_walk::note_failure(failure kind, duration adoption_time, instant now)
{
    if (!m_failing_since)
        m_failing_since = now;
    if (kind != failure::refused)
    {
        m_refused_since.reset();
        return;
    }
    if (!m_refused_since)
        m_refused_since = now;
    if (m_skips > 0 || now >= *m_refused_since + adoption_time)
        skip();
}

// The page can be refused for its position, which may have bytes that the
// source does not accept, or for an item, whose key is unknown. So the first
// skip is short, and each further one is twice as long.
void list_walk::skip()
{
    m_has_gap = true;
    if (m_skips == 0)
        m_skipped_from = m_position;
    const auto invisible = std::find_if_not(m_skipped_from.begin(),
                                            m_skipped_from.end(), is_visible) -
                           m_skipped_from.begin();
    const std::size_t kept = std::min(static_cast<std::size_t>(invisible) + 1,
                                      m_skipped_from.size());
    constexpr std::size_t max_doublings = 10;
    const std::size_t dropped = std::size_t{1}
                                << std::min(m_skips, max_doublings);
    ++m_skips;
    const auto next = dropped > kept
                          ? std::nullopt
                          : position_behind(m_skipped_from, kept - dropped);
    if (next)
        m_position = *next;
    else
        m_is_done = true;
}

bool list_walk::is_stalled(duration adoption_time, instant now) const
{
    return !m_is_done && m_failing_since &&
           now >= *m_failing_since + adoption_time / stall_divisor;
}

instant list_walk::retry_at(duration adoption_time, instant now) const
{
    if (!m_failing_since)
        return now;
    return now + std::clamp((now - *m_failing_since) / retry_divisor,
                            min_retry_pause,
                            std::max(min_retry_pause,
                                     adoption_time * max_retry_factor));
}

} // namespace mangofold::decision

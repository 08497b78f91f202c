#pragma once

#include "decision/time.hpp"

#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace mangofold::decision
{

/// The read of a paged list in the order of its keys. Behind a page that is
/// refused for good it continues with the rest of the list, which then counts
/// as read in part.
///
/// \a adoption_time is the time within which published state must be in force.
class list_walk
{
public:
    enum class failure : std::uint8_t
    {
        unanswered, ///< No statement about the page: overload, a lost answer.
        refused     ///< An answer without a page that continues the list.
    };

    /// Returns the key after which the next page begins; empty: the first page.
    const std::string& position() const { return m_position; }

    /// Notes a page that ends with \a last_key. Returns whether it continues
    /// the list: a page that leads to a position that was read before does not.
    bool note_page(const std::string& last_key, bool has_more);

    /// Notes that the page at position() failed.
    void note_failure(failure kind, duration adoption_time, instant now);

    bool is_done() const { return m_is_done; }
    /// Whether all pages were read.
    bool is_whole() const { return m_is_done && !m_has_gap; }
    bool has_gap() const { return m_has_gap; }
    bool is_failing() const { return m_failing_since.has_value(); }
    std::size_t pages() const { return m_pages; }

    /// Whether the page at position() has failed for so long that changes must
    /// be followed meanwhile.
    bool is_stalled(duration adoption_time, instant now) const;

    /// Returns when to request the page again while changes are followed.
    instant retry_at(duration adoption_time, instant now) const;

private:
    void skip();

    std::string m_position;
    std::set<std::string> m_positions; ///< Read before.
    std::size_t m_pages = 0;
    bool m_is_done = false;
    bool m_has_gap = false;
    std::optional<instant> m_failing_since;
    std::optional<instant> m_refused_since;
    std::string m_skipped_from; ///< Position of the page that was refused.
    std::size_t m_skips = 0;    ///< Since the last page.
};

} // namespace mangofold::decision

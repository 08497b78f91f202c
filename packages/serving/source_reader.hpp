#pragma once

#include "decision/catch_up.hpp"
#include "serving/entry_context.hpp"
#include "serving/source.hpp"
#include "serving/target_call.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// Keeps catalog and targets as the source publishes them: reads all once,
/// then waits for changes; reads all again where history was lost.
class source_reader
{
public:
    source_reader(entry_context& context, const source_dialect& speech);

    /// Reads for ever.
    awaitable<void> run();

    /// Puts the catalog in \a text in force if it is newer than the present
    /// one. \a from says who brought it.
    void adopt(const std::string& text, std::string_view from);

    /// Returns the catalog in force as it was written, or nothing.
    std::shared_ptr<const std::string> catalog_text() const
    {
        return m_catalog_text;
    }

    /// Ends a watch that began among more entries than answer now.
    void end_long_watch();

    /// Returns how the source is doing, for whoever weighs other ways.
    decision::catch_up::source_state state() const;

private:
    awaitable<std::optional<std::string>> ask(http_request request,
                                              duration most, unsigned& status);
    awaitable<target_call::outcome> read_body(target_call& call, instant began,
                                              duration most);
    awaitable<bool> read_declarations();
    awaitable<bool> read_page();
    awaitable<bool> read_next();
    void note_whole_list();
    awaitable<bool> watch();
    void apply(const source_page& page);
    void note_service(const source_change& one);
    void note_unreadable(const source_change& one);
    void note_source(bool is_there);
    awaitable<void> rest(duration time);
    awaitable<void> pause();

    /// What has come of a list that is being read, and of the catalog with it.
    struct partial_list
    {
        std::vector<decision::listed_target> targets;
        std::size_t pages = 0;
        std::string after; ///< The last key read.
        bool has_more = true;
        std::uint64_t revision = 0; ///< Of the source, at the first page.

        decision::zone_snapshot zones; ///< Declared so far.
        std::string declared_after;    ///< The last key of a declaration.
        bool are_declarations_read = false;
    };

    entry_context& m_context;
    const source_dialect& m_dialect;
    partial_list m_list;
    std::shared_ptr<const std::string> m_catalog_text;
    std::optional<instant> m_received_at; ///< Of an answer that is coming.
    std::uint64_t m_revision = 0;
    bool m_has_all = false;
    std::optional<bool> m_is_there;
    std::uint32_t m_failures = 0;
    unsigned m_last_status = 0;           ///< 0 where no answer came.
    std::shared_ptr<target_call> m_asked; ///< The newest question.
    std::optional<instant> m_watch_began; ///< The one under way.
    bool m_is_cut_short = false;          ///< By this process.
};

} // namespace mangofold::serving

#pragma once

#include "serving/entry_context.hpp"
#include "serving/piece_maker.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// Has the pieces of one request's stages made, each stage as soon as those
/// that it follows are done. Whoever is done with it calls release(): at the
/// end of a process, destructors run when nothing is left to release with.
class stage_runner
{
public:
    stage_runner(entry_context& context, const catalog::route& route,
                 const request_metadata& facts, const decision::digest& content,
                 std::string zone, duration yields, instant due,
                 instant expires);
    stage_runner(const stage_runner&) = delete;
    stage_runner& operator=(const stage_runner&) = delete;

    /// Makes all stages. Returns how it ended; made() holds the results.
    awaitable<decision::job_status> run();

    /// Stops at once, from outside.
    void abort();

    /// Returns when each stage was done, in milliseconds after \a began.
    std::string done_after(instant began) const;

    /// Whether a stage was begun although the request would be late.
    bool is_late() const { return m_is_late; }

    /// Returns the results that the request itself needs.
    std::vector<std::string> results() const;

    /// Returns the bytes of those results, by the zone of their makers.
    std::map<std::string, std::uint64_t> bytes_by_zone() const;

    /// Lets go of every result that is still held.
    void release();

private:
    enum class step : std::uint8_t
    {
        waiting,
        running,
        done
    };

    struct state
    {
        step now = step::waiting;
        std::uint32_t pieces = 0;
        piece_wait_ptr wait;
        std::vector<std::string> handles;
        bool is_used = false; ///< Its followers are done with the results.
        instant done_at{};
    };

    bool can_start(std::size_t index) const;
    bool has_begun() const;
    bool is_followed(std::size_t index) const;
    void start_stage(std::size_t index);
    std::vector<std::string> inputs_of(std::size_t index) const;
    std::string zone_of(const catalog::stage& stage) const;
    /// Takes in what has ended. Returns how the first bad one ended.
    std::optional<decision::job_status> take_ended();
    bool is_fetched(std::size_t index) const;
    void release_used();
    bool is_done() const;
    /// Returns the stages on the longest way from a stage to the end, itself
    /// first.
    std::vector<std::size_t> way_to_end(std::size_t index) const;
    std::size_t longest_way_left() const;

    entry_context& m_context;
    const catalog::route& m_route;
    const request_metadata& m_facts;
    decision::digest m_content;
    std::string m_zone; ///< Where the request itself will probably run.
    duration m_yields;
    instant m_due;
    instant m_expires;
    std::shared_ptr<signal_point> m_changed;
    std::vector<state> m_states;
    bool m_is_aborted = false;
    bool m_is_late = false; ///< Its first stage was begun late.
};

} // namespace mangofold::serving

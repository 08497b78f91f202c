#include "serving/stage_runner.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// How long beyond a job's time its outcome is waited for; whoever makes it
/// says so by then.
constexpr duration outcome_slack = std::chrono::milliseconds(100);

} // namespace

stage_runner::stage_runner(entry_context& context, const catalog::route& route,
                           const request_metadata& facts,
                           const decision::digest& content, std::string zone,
                           duration yields, instant due, instant expires)
    : m_context(context), m_route(route), m_facts(facts), m_content(content),
      m_zone(std::move(zone)), m_yields(yields), m_due(due), m_expires(expires),
      m_changed(std::make_shared<signal_point>(context.loop)),
      m_states(route.stages.size())
{
    for (std::size_t index = 0; index < m_states.size(); ++index)
        m_states[index].pieces =
            index < facts.pieces.size() ? facts.pieces[index] : 0;
}

bool stage_runner::can_start(std::size_t index) const
{
    if (m_states[index].now != step::waiting)
        return false;
    const auto& after = m_route.stages[index].after;
    const bool has_inputs = std::all_of(
        after.begin(), after.end(),
        [this](std::size_t one) { return m_states.at(one).now == step::done; });
    // A stage beside a longer chain is made when that one has come as near
    // to the end: its results would only take room until then.
    return has_inputs && way_to_end(index).size() >= longest_way_left();
}

std::size_t stage_runner::longest_way_left() const
{
    std::size_t longest = 0;
    for (std::size_t index = 0; index < m_states.size(); ++index)
        if (m_states[index].now != step::done && m_states[index].pieces > 0)
            longest = std::max(longest, way_to_end(index).size());
    return longest;
}

std::vector<std::size_t> stage_runner::way_to_end(std::size_t index) const
{
    std::vector<std::size_t> longest;
    for (std::size_t next = index + 1; next < m_states.size(); ++next)
    {
        const auto& needs = m_route.stages[next].after;
        if (m_states[next].pieces == 0 ||
            std::find(needs.begin(), needs.end(), index) == needs.end())
            continue;
        std::vector<std::size_t> way = way_to_end(next);
        if (way.size() > longest.size())
            longest = std::move(way);
    }
    longest.insert(longest.begin(), index);
    return longest;
}

bool stage_runner::has_begun() const
{
    return std::any_of(m_states.begin(), m_states.end(),
                       [](const state& one)
                       { return one.pieces > 0 && one.now != step::waiting; });
}

bool stage_runner::is_followed(std::size_t index) const
{
    for (std::size_t other = 0; other < m_states.size(); ++other)
    {
        const auto& after = m_route.stages[other].after;
        if (m_states[other].pieces > 0 &&
            std::find(after.begin(), after.end(), index) != after.end())
            return true;
    }
    return false;
}

std::vector<std::string> stage_runner::inputs_of(std::size_t index) const
{
    std::vector<std::string> inputs;
    for (const std::size_t one : m_route.stages[index].after)
    {
        const auto& handles = m_states.at(one).handles;
        inputs.insert(inputs.end(), handles.begin(), handles.end());
    }
    return inputs;
}

// A stage is best made where its inputs are, and a first one where the request
// will run.
std::string stage_runner::zone_of(const catalog::stage& stage) const
{
    for (const std::size_t one : stage.after)
    {
        const auto& handles = m_states.at(one).handles;
        if (handles.empty())
            continue;
        const std::string where =
            m_context.speech.producer_address(handles.front());
        for (const auto* maker :
             m_context.directory.serving(m_route.stages[one].service))
            if (maker->address == where)
                return maker->zone;
    }
    return m_zone;
}

void stage_runner::start_stage(std::size_t index)
{
    state& own = m_states[index];
    const catalog::stage& stage = m_route.stages[index];
    if (own.pieces == 0)
    {
        own.now = step::done;
        return;
    }
    // Asked before this one counts as running itself.
    const bool is_begun = has_begun();
    own.now = step::running;
    own.wait = std::make_shared<piece_wait>(m_changed);
    decision::stage_job job;
    job.request = m_facts.id;
    job.content = m_content;
    job.stage = static_cast<std::uint32_t>(index);
    job.pieces = own.pieces;
    job.result_bytes = stage.result_bytes;
    job.zone = zone_of(stage);
    job.priority_delay = m_yields;
    job.due = m_due;
    job.expires = m_expires;
    job.is_started = is_begun;
    job.is_late = m_is_late;
    for (const std::size_t one : way_to_end(index))
        if (one != index)
            job.downstream.push_back(
                {m_route.stages[one].service, m_states[one].pieces});
    if (stage.after.empty())
        job.key = m_facts.piece_key;
    else
        job.inputs = inputs_of(index);
    for (const std::size_t one : stage.after)
        job.input_bytes +=
            m_route.stages.at(one).result_bytes * m_states.at(one).pieces;
    m_context.pieces->make(stage.service, std::move(job), own.wait);
}

std::optional<decision::job_status> stage_runner::take_ended()
{
    for (state& one : m_states)
    {
        if (one.now != step::running || !one.wait->outcome())
            continue;
        const piece_outcome& outcome = *one.wait->outcome();
        one.handles = outcome.handles;
        m_is_late = m_is_late || outcome.was_late;
        if (outcome.end != decision::job_status::completed)
            return outcome.end;
        one.now = step::done;
        one.done_at = m_context.now();
    }
    return std::nullopt;
}

bool stage_runner::is_fetched(std::size_t index) const
{
    const state& one = m_states[index];
    return one.now == step::running && one.wait->is_fetched();
}

// Room for results is scarce: each is let go of as soon as everything that
// needs it is done.
void stage_runner::release_used()
{
    for (std::size_t index = 0; index < m_states.size(); ++index)
    {
        state& own = m_states[index];
        if (own.handles.empty() || !is_followed(index))
            continue;
        bool is_needed = false;
        for (std::size_t other = 0; other < m_states.size(); ++other)
        {
            const auto& after = m_route.stages[other].after;
            is_needed =
                is_needed ||
                (m_states[other].now != step::done && !is_fetched(other) &&
                 std::find(after.begin(), after.end(), index) != after.end());
        }
        if (!is_needed)
            m_context.pieces->release(m_route.stages[index].service,
                                      std::exchange(own.handles, {}));
    }
}

bool stage_runner::is_done() const
{
    return std::all_of(m_states.begin(), m_states.end(),
                       [](const state& one) { return one.now == step::done; });
}

awaitable<decision::job_status> stage_runner::run()
{
    for (;;)
    {
        for (std::size_t index = 0; index < m_states.size(); ++index)
            if (can_start(index))
                start_stage(index);
        if (const auto bad = take_ended())
            co_return *bad;
        release_used();
        if (is_done())
            co_return decision::job_status::completed;
        const bool may_start =
            std::any_of(m_states.begin(), m_states.end(),
                        [this](const state& one) {
                            return can_start(static_cast<std::size_t>(
                                &one - m_states.data()));
                        });
        if (may_start)
            continue;
        const instant now = m_context.now();
        if (m_is_aborted || now >= m_expires + outcome_slack)
            co_return decision::job_status::expired;
        co_await m_changed->wait(m_expires + outcome_slack - now);
    }
}

std::string stage_runner::done_after(instant began) const
{
    std::string text;
    for (const state& one : m_states)
    {
        if (one.done_at == instant{})
            continue;
        if (!text.empty())
            text += ' ';
        text += std::to_string(whole_milliseconds(one.done_at - began));
    }
    return text;
}

void stage_runner::abort()
{
    m_is_aborted = true;
    m_changed->raise();
}

std::vector<std::string> stage_runner::results() const
{
    std::vector<std::string> handles;
    for (std::size_t index = 0; index < m_states.size(); ++index)
        if (!is_followed(index))
            handles.insert(handles.end(), m_states[index].handles.begin(),
                           m_states[index].handles.end());
    return handles;
}

std::map<std::string, std::uint64_t> stage_runner::bytes_by_zone() const
{
    std::map<std::string, std::uint64_t> bytes;
    for (std::size_t index = 0; index < m_states.size(); ++index)
    {
        if (is_followed(index))
            continue;
        const catalog::stage& stage = m_route.stages[index];
        const auto& makers = m_context.directory.serving(stage.service);
        for (const std::string& handle : m_states[index].handles)
        {
            const std::string where = m_context.speech.producer_address(handle);
            for (const auto* maker : makers)
                if (maker->address == where)
                    bytes[maker->zone] += stage.result_bytes;
        }
    }
    return bytes;
}

void stage_runner::release()
{
    for (std::size_t index = 0; index < m_states.size(); ++index)
    {
        state& own = m_states[index];
        if (own.wait)
            own.wait->drop();
        if (!own.handles.empty())
            m_context.pieces->release(m_route.stages[index].service,
                                      std::exchange(own.handles, {}));
    }
}

} // namespace mangofold::serving

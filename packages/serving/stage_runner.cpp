#include "serving/stage_runner.hpp"

#include <algorithm>
#include <limits>

namespace mangofold::serving
{

namespace
{

/// How long after a job has expired its outcome is still awaited; the entry
/// that executes the job reports an outcome by then.
constexpr duration outcome_grace = std::chrono::milliseconds(100);

} // namespace

stage_runner::stage_runner(entry_context& context, const catalog::route& route,
                           const request_metadata& metadata,
                           const decision::digest& content, std::string zone,
                           stage_terms terms)
    : m_context(context), m_route(route), m_metadata(metadata),
      m_content(content), m_zone(std::move(zone)), m_terms(std::move(terms)),
      m_changed(std::make_shared<auto_reset_event>(context.loop)),
      m_states(route.stages.size())
{
    for (std::size_t index = 0; index < m_states.size(); ++index)
        m_states[index].pieces =
            index < metadata.pieces.size() ? metadata.pieces[index] : 0;
}

bool stage_runner::can_start(std::size_t index) const
{
    if (m_states[index].status != stage_status::waiting)
        return false;
    const auto& dependencies = m_route.stages[index].dependencies;
    const bool has_inputs =
        std::all_of(dependencies.begin(), dependencies.end(),
                    [this](std::size_t input) {
                        return m_states.at(input).status == stage_status::done;
                    });
    // A stage beside a longer chain waits until the rest of that chain is as
    // short as its own: results produced earlier would only take up memory.
    return has_inputs &&
           longest_path_from(index).size() >= longest_remaining_path();
}

bool stage_runner::can_start_any() const
{
    return std::any_of(m_states.begin(), m_states.end(),
                       [this](const stage_state& state) {
                           return can_start(static_cast<std::size_t>(
                               &state - m_states.data()));
                       });
}

// Of two stages that start together, one may have run when the other is
// rejected.
bool stage_runner::has_other_start() const
{
    for (std::size_t index = 0; index < m_states.size(); ++index)
        if (m_states[index].pieces > 0 && can_start(index))
            return true;
    return false;
}

std::size_t stage_runner::longest_remaining_path() const
{
    std::size_t longest = 0;
    for (std::size_t index = 0; index < m_states.size(); ++index)
        if (m_states[index].status != stage_status::done &&
            m_states[index].pieces > 0)
            longest = std::max(longest, longest_path_from(index).size());
    return longest;
}

std::vector<std::size_t>
stage_runner::longest_path_from(std::size_t index) const
{
    std::vector<std::size_t> longest;
    for (std::size_t next = index + 1; next < m_states.size(); ++next)
    {
        const auto& dependencies = m_route.stages[next].dependencies;
        if (m_states[next].pieces == 0 ||
            std::find(dependencies.begin(), dependencies.end(), index) ==
                dependencies.end())
            continue;
        std::vector<std::size_t> path = longest_path_from(next);
        if (path.size() > longest.size())
            longest = std::move(path);
    }
    longest.insert(longest.begin(), index);
    return longest;
}

bool stage_runner::has_started() const
{
    return std::any_of(m_states.begin(), m_states.end(),
                       [](const stage_state& state) {
                           return state.pieces > 0 &&
                                  state.status != stage_status::waiting;
                       });
}

bool stage_runner::has_dependents(std::size_t index) const
{
    for (std::size_t other = 0; other < m_states.size(); ++other)
    {
        const auto& dependencies = m_route.stages[other].dependencies;
        if (m_states[other].pieces > 0 &&
            std::find(dependencies.begin(), dependencies.end(), index) !=
                dependencies.end())
            return true;
    }
    return false;
}

std::vector<std::string> stage_runner::input_handles(std::size_t index) const
{
    std::vector<std::string> inputs;
    for (const std::size_t input : m_route.stages[index].dependencies)
    {
        const auto& handles = m_states.at(input).handles;
        inputs.insert(inputs.end(), handles.begin(), handles.end());
    }
    return inputs;
}

// A stage preferably runs where its inputs are, and a first stage where the
// request will run.
std::string stage_runner::preferred_zone(const catalog::stage& stage) const
{
    for (const std::size_t input : stage.dependencies)
    {
        const auto& handles = m_states.at(input).handles;
        if (handles.empty())
            continue;
        const std::string address =
            m_context.protocol.producer_address(handles.front());
        for (const auto* target :
             m_context.directory.serving(m_route.stages[input].service))
            if (target->address == address)
                return target->zone;
    }
    return m_zone;
}

void stage_runner::start_stage(std::size_t index)
{
    stage_state& state = m_states[index];
    const catalog::stage& stage = m_route.stages[index];
    if (state.pieces == 0)
    {
        state.status = stage_status::done;
        return;
    }
    // Evaluated before this stage itself counts as running.
    const bool is_request_started = has_started();
    state.status = stage_status::running;
    state.pending = std::make_shared<pending_job>(m_changed);
    decision::stage_job job;
    job.request = m_metadata.id;
    job.content = m_content;
    job.stage = static_cast<std::uint32_t>(index);
    job.pieces = state.pieces;
    job.result_bytes = stage.result_bytes;
    job.zone = preferred_zone(stage);
    job.urgency = m_terms.urgency;
    job.account = m_terms.account;
    job.is_returning = m_terms.is_returning;
    job.continues_stream = m_terms.continues_stream;
    job.accepts_rejection =
        m_terms.accepts_rejection && !is_request_started && !has_other_start();
    job.due = m_terms.due;
    job.expires = m_terms.expires;
    job.is_started = is_request_started;
    job.is_late = m_is_late;
    for (const std::size_t later : longest_path_from(index))
        if (later != index)
            job.downstream.push_back(
                {m_route.stages[later].service, m_states[later].pieces});
    if (stage.dependencies.empty())
        job.key = m_metadata.piece_key;
    else
        job.inputs = input_handles(index);
    for (const std::size_t input : stage.dependencies)
        job.input_bytes +=
            m_route.stages.at(input).result_bytes * m_states.at(input).pieces;
    m_context.stage_executor->execute(stage.service, std::move(job),
                                      state.pending);
}

std::optional<decision::job_status> stage_runner::collect_outcomes()
{
    for (stage_state& state : m_states)
    {
        if (state.status != stage_status::running || !state.pending->outcome())
            continue;
        const job_outcome& outcome = *state.pending->outcome();
        state.handles = outcome.handles;
        m_is_late = m_is_late || outcome.was_late;
        if (outcome.status != decision::job_status::completed)
        {
            m_retry_in = outcome.retry_in;
            return outcome.status;
        }
        state.status = stage_status::done;
        state.done_at = m_context.now();
    }
    return std::nullopt;
}

bool stage_runner::has_fetched_inputs(std::size_t index) const
{
    const stage_state& state = m_states[index];
    return state.status == stage_status::running &&
           state.pending->has_fetched_inputs();
}

// Memory for results is scarce: each result is released as soon as all stages
// that need it are done.
void stage_runner::release_consumed()
{
    for (std::size_t index = 0; index < m_states.size(); ++index)
    {
        stage_state& state = m_states[index];
        if (state.handles.empty() || !has_dependents(index))
            continue;
        bool is_needed = false;
        for (std::size_t other = 0; other < m_states.size(); ++other)
        {
            const auto& dependencies = m_route.stages[other].dependencies;
            is_needed = is_needed ||
                        (m_states[other].status != stage_status::done &&
                         !has_fetched_inputs(other) &&
                         std::find(dependencies.begin(), dependencies.end(),
                                   index) != dependencies.end());
        }
        if (!is_needed)
            m_context.stage_executor->release(m_route.stages[index].service,
                                              std::exchange(state.handles, {}));
    }
}

bool stage_runner::is_done() const
{
    return std::all_of(m_states.begin(), m_states.end(),
                       [](const stage_state& state)
                       { return state.status == stage_status::done; });
}

awaitable<decision::job_status> stage_runner::run()
{
    for (;;)
    {
        for (std::size_t index = 0; index < m_states.size(); ++index)
            if (can_start(index))
                start_stage(index);
        if (const auto failure = collect_outcomes())
            co_return *failure;
        release_consumed();
        if (is_done())
            co_return decision::job_status::completed;
        if (can_start_any())
            continue;
        const instant now = m_context.now();
        if (m_is_aborted || now >= m_terms.expires + outcome_grace)
            co_return decision::job_status::expired;
        co_await m_changed->wait(m_terms.expires + outcome_grace - now);
    }
}

std::string stage_runner::completion_times(instant started_at) const
{
    std::string text;
    for (const stage_state& state : m_states)
    {
        if (state.done_at == instant{})
            continue;
        if (!text.empty())
            text += ' ';
        text += std::to_string(whole_milliseconds(state.done_at - started_at));
    }
    return text;
}

void stage_runner::abort()
{
    m_is_aborted = true;
    m_changed->set();
}

std::vector<std::string> stage_runner::results() const
{
    std::vector<std::string> handles;
    for (std::size_t index = 0; index < m_states.size(); ++index)
        if (!has_dependents(index))
            handles.insert(handles.end(), m_states[index].handles.begin(),
                           m_states[index].handles.end());
    return handles;
}

std::map<std::string, std::uint64_t> stage_runner::result_bytes_by_zone() const
{
    std::map<std::string, std::uint64_t> bytes;
    for (std::size_t index = 0; index < m_states.size(); ++index)
    {
        if (has_dependents(index))
            continue;
        const catalog::stage& stage = m_route.stages[index];
        const auto& producers = m_context.directory.serving(stage.service);
        for (const std::string& handle : m_states[index].handles)
        {
            const std::string address =
                m_context.protocol.producer_address(handle);
            for (const auto* target : producers)
                if (target->address == address)
                    bytes[target->zone] += stage.result_bytes;
        }
    }
    return bytes;
}

std::optional<duration> stage_runner::result_fetch_time() const
{
    std::uint64_t bytes = 0;
    double slowest = std::numeric_limits<double>::infinity();
    for (std::size_t index = 0; index < m_states.size(); ++index)
    {
        const stage_state& state = m_states[index];
        if (has_dependents(index) || state.handles.empty())
            continue;
        const catalog::stage& stage = m_route.stages[index];
        const auto* service = m_context.catalog->find_service(stage.service);
        if (service == nullptr || !service->calls)
            return std::nullopt;
        bytes += stage.result_bytes * state.handles.size();
        slowest = std::min(slowest, service->calls->link_bytes_per_s);
    }
    if (bytes == 0)
        return std::nullopt;
    return decision::input_release::fetch_time(bytes, slowest);
}

void stage_runner::release()
{
    m_is_released = true;
    for (std::size_t index = 0; index < m_states.size(); ++index)
    {
        stage_state& state = m_states[index];
        if (state.pending)
            state.pending->cancel();
        if (!state.handles.empty())
            m_context.stage_executor->release(m_route.stages[index].service,
                                              std::exchange(state.handles, {}));
    }
}

} // namespace mangofold::serving

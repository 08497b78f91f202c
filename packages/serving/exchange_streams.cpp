#include "runtime/event.hpp"
#include "serving/exchange.hpp"
#include "serving/stream_registry.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <utility>

namespace mangofold::serving
{

bool exchange::is_taking_up_stream() const
{
    return m_route->is_stream && !m_metadata.last_event_id.empty();
}

bool exchange::is_stream_in_progress() const
{
    return m_route->is_stream && (is_taking_up_stream() || m_is_head_sent);
}

duration exchange::least_stages_time() const
{
    std::vector<duration> ends(m_route->stages.size());
    duration longest{};
    for (std::size_t index = 0; index < ends.size(); ++index)
    {
        const catalog::stage& stage = m_route->stages[index];
        for (const std::size_t input : stage.dependencies)
            ends[index] = std::max(ends[index], ends.at(input));
        const auto* service = m_catalog->find_service(stage.service);
        const bool is_needed =
            index < m_metadata.pieces.size() && m_metadata.pieces[index] > 0;
        if (is_needed && service != nullptr && service->calls)
            ends[index] += service->calls->time_per_call;
        longest = std::max(longest, ends[index]);
    }
    return longest;
}

// What these say does not change within the caller's time, or the caller does
// better to turn to another entry at once.
bool exchange::is_another_round_useless() const
{
    switch (m_refusal)
    {
    case refusal::quarantined:
    case refusal::part_quarantined:
    case refusal::evacuated:
    case refusal::stopping:
    case refusal::version_gone:
        return true;
    default:
        return m_is_aborted_by_shutdown;
    }
}

awaitable<bool> exchange::wait_for_next_round()
{
    if (m_session->check_disconnected() || is_another_round_useless())
        co_return false;
    const duration least_time =
        (m_stages ? duration::zero() : least_stages_time()) +
        first_event_time() + answer_transit_time;
    const bool has_other = m_has_round_sent && has_untried_target();
    const decision::next_round next = m_progress->note_failed_round(
        {least_time, latest_send_time(), m_sends->may_send(), has_other},
        m_context.now());
    m_stream_bound = next.bound;
    m_context.count("stream_rounds_failed", "why", to_string(m_refusal));
    runtime::event("stream_round_failed")
        .with("request", m_metadata.id)
        .with("why", to_string(m_refusal))
        .with("rounds", m_progress->failed_rounds())
        .with("bound", to_string(next.bound))
        .with("pause_ms", whole_milliseconds(next.pause))
        .with("left_ms", whole_milliseconds(remaining_time()))
        .with("silence_left_ms",
              whole_milliseconds(m_progress->next_event_by() - m_context.now()))
        .info();
    if (next.bound != decision::stream_bound::none)
    {
        if (next.bound == decision::stream_bound::process_end)
            m_refusal = refusal::stopping;
        else if (m_refusal == refusal::none)
            m_refusal = refusal::too_late;
        co_return false;
    }
    // The end of the process must not wait for the end of the pause.
    const instant resumes_at = m_context.now() + next.pause;
    while (m_context.now() < resumes_at && !m_is_aborted_by_shutdown &&
           !m_session->has_disconnected())
        co_await wait_poll_interval();
    // A target that refused the request may take it by now, and an untried one
    // may not be usable. One that was lost may have restarted under its id with
    // another version, which the list does not show yet.
    if (!has_other)
        for (const auto& target : std::exchange(m_refusing_targets, {}))
            m_tried_targets.erase(target);
    if (m_is_aborted_by_shutdown)
        co_return false;
    m_refusal = refusal::none;
    co_return true;
}

bool exchange::has_untried_target() const
{
    const auto targets = serving_targets();
    return std::ranges::any_of(
        targets, [this](const decision::listed_target* target)
        { return !m_tried_targets.contains(target->incarnation); });
}

duration exchange::first_event_time() const
{
    constexpr duration typical = std::chrono::milliseconds(150);
    const auto known = m_context.times_by_route.find(m_route->name);
    if (known == m_context.times_by_route.end())
        return typical;
    const duration mean = known->second.time_to_first_event.mean();
    return is_stream_in_progress() ? std::min(mean, typical) : mean;
}

decision::stream_key
exchange::stream_key_of(const std::string& request_id) const
{
    return decision::make_stream_key(
        m_account == nullptr ? std::string_view() : m_account->name,
        m_metadata.host, m_metadata.path, request_id);
}

duration exchange::stream_time_limit() const
{
    return std::max(m_route->timeout,
                    m_metadata.budget.value_or(duration::zero()));
}

// A caller that does not name the request that began its stream takes up one
// that no entry recorded under that name.
awaitable<bool> exchange::find_stream_origin()
{
    if (!is_taking_up_stream())
        co_return true;
    const auto& services = m_route->services;
    const decision::stream_key key = stream_key_of(m_metadata.resumed_request);
    const stream_registry::caller_time time{
        stream_time_limit(), m_metadata.budget.value_or(duration::zero())};
    stream_registry::finding found;
    if (m_context.streams != nullptr)
        found = co_await m_context.streams->find(key, m_service, time);
    m_context.count("streams_taken_up", "known_from", to_string(found.from));
    runtime::event("stream_taken_up")
        .with("request", m_metadata.id)
        .with("resumes", m_metadata.resumed_request)
        .with("after", m_metadata.last_event_id)
        .with("known_from", to_string(found.from))
        .with("age_ms", whole_milliseconds(found.age))
        .with("list_old", found.is_list_old)
        .with("list_seen_ms",
              whole_milliseconds(m_context.now() -
                                 m_context.versions.up_to_date_at()))
        .with("version", found.origin.version)
        .with("asked", fmt::format("{}", fmt::join(found.asked, " ")))
        .with("silent", fmt::format("{}", fmt::join(found.silent, " ")))
        .info();
    if (m_session->check_disconnected())
        co_return false;
    const bool is_of_route =
        std::any_of(services.begin(), services.end(),
                    [&found](const catalog::weighted_service& choice)
                    { return choice.service == found.origin.service; });
    if (!is_of_route)
    {
        m_is_list_old = found.is_list_old;
        if (found.is_list_old)
            ++m_context.metrics.count({"streams_unknown_list_old", {}});
        m_refusal = refusal::stream_unknown;
        co_return false;
    }
    m_service = found.origin.service;
    m_origin = std::move(found.origin);
    if (!m_metadata.resumed_request.empty())
        m_taken_up_key = key;
    // Targets of other versions may be listed first.
    co_await wait_during_startup(
        [this] { return m_context.has_all_targets || !is_version_gone(); });
    co_return true;
}

bool exchange::fits_stream(const decision::listed_target& target) const
{
    return !m_origin ||
           (!m_origin->version.empty() && target.version == m_origin->version);
}

std::vector<const decision::listed_target*> exchange::serving_targets() const
{
    std::vector<const decision::listed_target*> targets =
        m_context.directory.serving(m_service);
    if (m_origin)
        std::erase_if(targets, [this](const decision::listed_target* target)
                      { return !fits_stream(*target); });
    return targets;
}

bool exchange::is_version_gone() const
{
    return m_origin && serving_targets().empty();
}

// A target may have restarted under its id since the request was sent, so that
// another process, of another version, has answered.
std::string exchange::confirmed_version() const
{
    const std::string listed = m_context.directory.version_of(m_last_target);
    return listed == m_target_version ? listed : std::string();
}

// The record goes out before the first event does: a caller that has an event
// may take up the stream at another entry at once.
bool exchange::accept_first_event()
{
    const std::string version = confirmed_version();
    const bool is_continued = m_origin.has_value();
    if (is_continued && (version.empty() || version != m_origin->version))
    {
        note_stream("stream_stopped", version);
        return false;
    }
    const bool is_taken_up = is_taking_up_stream() && !m_is_head_sent;
    const decision::stream_origin began =
        m_origin.value_or(decision::stream_origin{m_service, version});
    const bool is_recorded = m_route->is_resumable && !version.empty() &&
                             (!is_continued || (is_taken_up && m_taken_up_key));
    std::set<std::string> holders;
    if (is_recorded && m_context.streams != nullptr)
        holders = m_context.streams->record(
            m_taken_up_key.value_or(stream_key_of(m_metadata.id)), began,
            stream_time_limit());
    note_stream(is_taken_up    ? "stream_resumed"
                : is_continued ? "stream_continued"
                               : "stream_begun",
                version, holders);
    m_origin = began;
    return true;
}

// A stream that goes on may break again; its next request counts by itself.
void exchange::count_take_up()
{
    if (m_route == nullptr || !is_taking_up_stream() ||
        std::exchange(m_is_take_up_counted, true))
        return;
    std::string_view outcome = m_answer_status != 0 ? "answered" : "cut";
    if (m_is_head_sent)
        outcome = "went_on";
    else if (m_session->has_disconnected())
        outcome = "caller_left";
    else if (m_refusal != refusal::none)
        outcome = to_string(m_refusal);
    m_context.count("streams_taken_up_ended", "outcome", outcome);
    const instant now = m_context.now();
    runtime::event("take_up_ended")
        .with("request", m_metadata.id)
        .with("resumes", m_metadata.resumed_request)
        .with("why", outcome)
        .with("route", m_route->name)
        .with("waited_ms",
              whole_milliseconds((m_is_head_sent ? m_first_byte_at : now) -
                                 m_started_at))
        .with("stages_ms",
              m_stages_done_at == instant{}
                  ? 0
                  : whole_milliseconds(m_stages_done_at - m_started_at))
        .with("left_ms", whole_milliseconds(remaining_time()))
        .with("bound", to_string(m_stream_bound))
        .with("rounds", m_progress ? m_progress->failed_rounds() : 0)
        .info();
}

void exchange::log_take_up_wait(const stage_terms& terms) const
{
    if (!is_taking_up_stream())
        return;
    const instant now = m_context.now();
    runtime::event("take_up_waits")
        .with("request", m_metadata.id)
        .with("for", "stages")
        .with("due_ms", whole_milliseconds(terms.due - now))
        .with("expires_ms", whole_milliseconds(terms.expires - now))
        .with("left_ms", whole_milliseconds(remaining_time()))
        .info();
}

void exchange::note_stream(std::string_view event, const std::string& version,
                           const std::set<std::string>& holders)
{
    m_context.count("streams", "event", event);
    runtime::event(event)
        .with("request", m_metadata.id)
        .with("resumes", m_metadata.resumed_request)
        .with("target", m_last_target.id)
        .with("born", m_last_target.started_ms)
        .with("version", version)
        .with("before", m_origin ? m_origin->version : std::string())
        .with("holders", fmt::format("{}", fmt::join(holders, " ")))
        .info();
}

} // namespace mangofold::serving

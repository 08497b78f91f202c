#include "runtime/event.hpp"
#include "serving/piece_batcher.hpp"
#include "serving/target_call.hpp"
#include "serving/target_statements.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// How long a target may take to confirm the release of results.
constexpr duration release_timeout = std::chrono::milliseconds(300);

constexpr auto this_entry = decision::request_limits::senders::this_entry;

} // namespace

void piece_batcher::update_targets(const std::string& service,
                                   service_queue& queue)
{
    if (queue.directory_changes == m_context.directory.change_count())
        return;
    queue.directory_changes = m_context.directory.change_count();
    std::map<decision::target_incarnation, std::string> zones;
    for (const auto* target : m_context.directory.serving(service))
        zones[target->incarnation] = target->zone;
    queue.planner.set_targets(zones);
}

// Only the batching entry calls the targets of its service, so the limit of
// each target applies to this entry alone.
void piece_batcher::update_call_limits(const std::string& service,
                                       service_queue& queue)
{
    const bool has_limits = m_context.request_limits.has_any() ||
                            m_context.resting_targets.has_any();
    if (!has_limits && !queue.has_call_limits)
        return;
    queue.has_call_limits = has_limits;
    const instant now = m_context.now();
    for (const auto* target : m_context.directory.serving(service))
        queue.planner.set_call_limit(target->incarnation,
                                     next_call_at(target->incarnation, now),
                                     m_context.request_limits.interval(
                                         target->incarnation, this_entry, now));
}

instant piece_batcher::next_call_at(const decision::target_incarnation& target,
                                    instant now)
{
    return std::max(m_context.request_limits.next_send(target, this_entry, now),
                    m_context.resting_targets.rests_until(target, now));
}

void piece_batcher::release(const std::string& service,
                            const std::vector<std::string>& handles)
{
    service_queue* queue = queue_of(service);
    if (queue == nullptr)
        return;
    for (const std::string& handle : handles)
        queue_release(*queue, handle);
}

// Calls have priority over releases at a target with a limit, and a resting one
// gets neither. Results that
// expire meanwhile need no release.
void piece_batcher::hold_back_releases(
    service_queue& queue, const std::string& address,
    const decision::target_incarnation& producer,
    std::vector<std::string> handles)
{
    std::erase_if(handles,
                  [&](const std::string& handle) {
                      return !queue.planner.is_stored(producer, handle,
                                                      m_context.now());
                  });
    if (handles.empty())
        return;
    auto& pending = queue.pending_releases[address];
    pending.insert(pending.end(), std::make_move_iterator(handles.begin()),
                   std::make_move_iterator(handles.end()));
}

// Another target has the address, so the producer is gone, and its results with
// it.
void piece_batcher::note_misdirected_release(
    const decision::target_incarnation& producer, const std::string& address)
{
    m_context.count("releases", "how", "misdirected");
    runtime::event("release_misdirected")
        .with("target", producer.id)
        .with("born", producer.started_ms)
        .with("address", address)
        .info();
}

awaitable<void> piece_batcher::send_releases(std::string service)
{
    service_queue& queue = *m_queues.at(service);
    auto batches = std::exchange(queue.pending_releases, {});
    for (auto& [address, handles] : batches)
    {
        decision::target_incarnation producer;
        for (const auto* target : m_context.directory.serving(service))
            if (target->address == address)
                producer = target->incarnation;
        if (producer.id.empty())
            continue;
        const instant now = m_context.now();
        if (next_call_at(producer, now) > now)
        {
            hold_back_releases(queue, address, producer, std::move(handles));
            continue;
        }
        m_context.request_limits.note_sent(producer, now);
        const auto sent_call = std::make_shared<target_call>(
            m_context.connection_pool, m_context.protocol,
            call_destination{producer, runtime::address::parse(address)});
        sent_call->set_send_check(
            [this, producer]
            { return m_context.directory.find(producer) != nullptr; });
        sent_call->set_max_body_bytes(max_call_answer_bytes);
        auto state = co_await sent_call->send_request(
            m_context.protocol.make_release_request(handles),
            m_context.call_ids.next(), release_timeout);
        if (state == target_call::outcome::ok)
            record_target_statements(m_context, *sent_call, now);
        if (state == target_call::outcome::ok)
            state = co_await sent_call->read_rest(release_timeout);
        if (state != target_call::outcome::ok)
            m_context.count("releases", "how", "lost");
        else if (sent_call->metadata().is_misdirected)
            note_misdirected_release(producer, address);
        for (const std::string& handle : handles)
            queue.planner.note_released(producer, handle);
        sent_call->release_connection();
    }
}

} // namespace mangofold::serving

#include "entry/sidecar_link.hpp"

#include "entry/sidecar_stream.hpp"
#include "runtime/event.hpp"
#include "wire/convert.hpp"

#include <utility>

namespace mangofold::entry
{

namespace
{

constexpr decision::duration min_reopen_delay = std::chrono::milliseconds(20);
constexpr decision::duration max_reopen_delay = std::chrono::seconds(1);
// A sidecar sends a grant at least once a second. A sidecar that sends nothing
// for longer is paused, has crashed or is disconnected.
constexpr decision::duration silence_timeout = std::chrono::milliseconds(2200);

} // namespace

sidecar_link::sidecar_link(const link_context& context, std::string target,
                           std::string address)
    : m_context(context), m_target(std::move(target)),
      m_address(std::move(address)),
      m_backoff(min_reopen_delay, max_reopen_delay),
      m_random(decision::digest_of(context.entry_id, m_target).low)
{
}

void sidecar_link::maintain()
{
    stream_ptr silent;
    {
        const std::lock_guard lock(m_mutex);
        const decision::instant now = m_context.clock.now();
        if (m_is_closed)
            return;
        if (!m_stream && now >= m_next_open_at)
            return open_stream();
        if (m_stream && now > m_last_received_at + silence_timeout)
            silent = m_stream;
    }
    if (!silent)
        return;
    ++m_context.metrics.count({"mangofold_links_silent_total", ""});
    silent->cancel();
}

void sidecar_link::open_stream()
{
    const std::uint64_t epoch = ++m_epoch;
    m_last_received_at = m_context.clock.now();
    const std::weak_ptr<sidecar_link> self = weak_from_this();
    m_stream = std::make_shared<sidecar_stream>(
        [self, epoch](const wire::SidecarMessage& message)
        {
            if (const auto link = self.lock())
                link->handle_message(epoch, message);
        },
        [self, epoch]
        {
            if (const auto link = self.lock())
                link->stream_closed(epoch);
        });
    m_stream->open(m_address);
    wire::EntryMessage hello;
    hello.set_generation(m_context.store.generation());
    hello.mutable_hello()->set_entry_id(m_context.entry_id);
    hello.mutable_hello()->set_zone(m_context.zone);
    m_stream->send(std::move(hello));
}

void sidecar_link::close()
{
    stream_ptr open;
    {
        const std::lock_guard lock(m_mutex);
        m_is_closed = true;
        open = m_stream;
    }
    if (open)
        open->cancel();
}

void sidecar_link::stream_closed(std::uint64_t epoch)
{
    std::map<std::uint64_t, pending_request> lost;
    {
        const std::lock_guard lock(m_mutex);
        if (epoch != m_epoch)
            return;
        m_stream.reset();
        m_is_up = false;
        m_grant = {};
        m_next_open_at = m_context.clock.now() + m_backoff.next(m_random);
        lost.swap(m_pending);
    }
    m_context.routes.link_closed(m_target);
    const decision::stage_result result =
        decision::unknown_outcome(decision::reason::link_lost);
    for (auto& [number, request] : lost)
    {
        if (request.attempt == 0)
        {
            request.replies->put(ticket_message{});
            continue;
        }
        m_context.routes.attempt_ended(m_target, request.priority, result);
        request.replies->put(link_lost_message{m_target, request.attempt});
    }
}

std::optional<sent_submission>
sidecar_link::submit(decision::submission work,
                     const std::shared_ptr<mailbox>& replies)
{
    const std::lock_guard lock(m_mutex);
    if (!m_is_up || m_grant.serial == 0)
        return std::nullopt;
    // A retry that is pinned to one incarnation must not run on another one.
    if (work.pinned_incarnation == 0)
        work.pinned_incarnation = work.is_repeatable ? 0 : m_grant.incarnation;
    work.grant = m_grant;
    wire::EntryMessage message;
    message.set_generation(m_context.store.generation());
    wire::to_wire(work, *message.mutable_submit());
    const std::uint64_t number = m_next_number++;
    message.mutable_submit()->set_number(number);
    if (!m_stream->send(std::move(message)))
        return std::nullopt;
    m_pending.emplace(number,
                      pending_request{replies, work.attempt, work.priority});
    m_context.routes.attempt_sent(m_target, work.priority);
    return sent_submission{m_target, number, m_grant.incarnation};
}

void sidecar_link::cancel(std::uint64_t number)
{
    const std::optional<pending_request> cancelled = take_pending(number);
    if (!cancelled)
        return;
    m_context.routes.attempt_ended(
        m_target, cancelled->priority,
        decision::unknown_outcome(decision::reason::target_timeout));
    wire::EntryMessage message;
    message.mutable_cancel()->set_number(number);
    send(std::move(message));
}

bool sidecar_link::request_ticket(const std::shared_ptr<mailbox>& replies)
{
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_is_up)
            return false;
        number = m_next_number++;
        m_pending.emplace(number, pending_request{replies, 0, {}});
    }
    wire::EntryMessage message;
    message.mutable_mint()->set_number(number);
    if (send(std::move(message)))
        return true;
    take_pending(number);
    return false;
}

void sidecar_link::announce_generation()
{
    send({});
}

void sidecar_link::announce_leaving()
{
    wire::EntryMessage message;
    message.mutable_leaving();
    send(std::move(message));
}

std::uint32_t sidecar_link::entry_count() const
{
    const std::lock_guard lock(m_mutex);
    return m_entry_count > 0 ? m_entry_count : 1;
}

void sidecar_link::handle_message(std::uint64_t epoch,
                                  const wire::SidecarMessage& message)
{
    {
        const std::lock_guard lock(m_mutex);
        if (epoch != m_epoch)
            return;
        m_last_received_at = m_context.clock.now();
    }
    request_newer_manifest(message.generation());
    switch (message.kind_case())
    {
    case wire::SidecarMessage::kGrant:
        return handle_grant(message.grant());
    case wire::SidecarMessage::kResult:
        return handle_result(message.result());
    case wire::SidecarMessage::kMinted:
        return handle_ticket(message);
    case wire::SidecarMessage::kConfigWanted:
    {
        const configuration::snapshot_ptr current = m_context.store.current();
        if (!current)
            return;
        wire::EntryMessage reply;
        reply.mutable_config()->set_body(current->body);
        send(std::move(reply));
        return;
    }
    case wire::SidecarMessage::kConfig:
        m_context.store.offer(message.config().body(),
                              configuration::source::peer);
        return;
    case wire::SidecarMessage::kTargetLost:
        if (m_context.on_target_crash)
            m_context.on_target_crash(wire::from_wire(
                message.target_lost(), m_target, m_context.clock.now()));
        return;
    case wire::SidecarMessage::kProgress:
    case wire::SidecarMessage::KIND_NOT_SET:
        return;
    }
}

void sidecar_link::handle_grant(const wire::Grant& grant)
{
    if (grant.target_id() != m_target)
    {
        ++m_context.metrics.count({"mangofold_links_misplaced_total", ""});
        return;
    }
    bool is_new = false;
    {
        const std::lock_guard lock(m_mutex);
        is_new = !m_is_up;
        m_is_up = true;
        m_backoff.reset();
        m_grant = {grant.incarnation(), grant.serial()};
        m_entry_count = grant.entry_count();
    }
    m_context.routes.load_reported(m_target, wire::from_wire(grant.load()));
    if (grant.leaving())
        return m_context.routes.target_left(m_target);
    if (grant.serial() != 0 || is_new)
        m_context.routes.link_opened(m_target);
}

void sidecar_link::handle_result(const wire::Result& message)
{
    const std::optional<pending_request> request =
        take_pending(message.number());
    if (!request)
    {
        // The attempt was abandoned or has already been answered.
        ++m_context.metrics.count({"mangofold_late_results_total", ""});
        return;
    }
    const decision::stage_result result = wire::from_wire(message);
    m_context.routes.attempt_ended(m_target, request->priority, result);
    m_context.routes.load_reported(m_target, wire::from_wire(message.load()));
    request->replies->put(result_message{m_target, message.request_id(),
                                         message.stage(), message.attempt(),
                                         result});
}

void sidecar_link::handle_ticket(const wire::SidecarMessage& message)
{
    const wire::Minted& minted = message.minted();
    const std::optional<pending_request> request =
        take_pending(minted.number());
    if (!request)
        return;
    ticket_message arrived;
    if (!minted.refused())
        arrived.value = decision::ticket{minted.ticket().target_id(),
                                         minted.ticket().incarnation(),
                                         minted.ticket().serial()};
    request->replies->put(arrived);
}

void sidecar_link::request_newer_manifest(std::uint64_t generation)
{
    if (generation <= m_context.store.generation())
        return;
    wire::EntryMessage message;
    message.mutable_config_wanted();
    send(std::move(message));
}

std::optional<sidecar_link::pending_request>
sidecar_link::take_pending(std::uint64_t number)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_pending.find(number);
    if (found == m_pending.end())
        return std::nullopt;
    pending_request taken = std::move(found->second);
    m_pending.erase(found);
    return taken;
}

bool sidecar_link::send(wire::EntryMessage message)
{
    stream_ptr open;
    {
        const std::lock_guard lock(m_mutex);
        open = m_stream;
    }
    if (!open)
        return false;
    message.set_generation(m_context.store.generation());
    return open->send(std::move(message));
}

} // namespace mangofold::entry

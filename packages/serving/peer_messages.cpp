#include "serving/peer_messages.hpp"

#include "decision/streams/software_version.hpp"
#include "runtime/address.hpp"
#include "runtime/event.hpp"

#include <algorithm>
#include <cmath>

namespace mangofold::serving
{

namespace
{

/// Bounds of what another entry may send, far above all values of a sound one:
/// sums with larger times overflow, and each piece of a job takes memory.
constexpr std::int64_t max_time_ns = 3'600'000'000'000;
constexpr std::uint32_t max_pieces = 10'000;

duration bounded_time(std::int64_t ns)
{
    return duration(std::clamp(ns, -max_time_ns, max_time_ns));
}

/// The delay for each rank in the message of an entry that orders jobs by due
/// time plus delay. Entries that know the ranks ignore it.
constexpr duration delay_per_route_rank = std::chrono::milliseconds(400);
constexpr duration delay_per_account_rank = std::chrono::milliseconds(500);

/// Longer delays than that of the last rank are of no use to any entry.
constexpr std::uint32_t last_delayed_rank = 100;

duration delay_of(const decision::urgency& urgency)
{
    return delay_per_route_rank *
               std::min(urgency.route_rank, last_delayed_rank) +
           delay_per_account_rank *
               std::min(urgency.account_rank, last_delayed_rank);
}

/// Returns the ranks of a job. Those of an entry that sends only a delay are
/// derived from it: without ranks its jobs would go before all others.
decision::urgency read_urgency(const peer::Job& message)
{
    if (message.account_rank() > 0 || message.route_rank() > 0)
        return {message.account_rank(), message.route_rank()};
    const duration delay(std::clamp<std::int64_t>(
        message.yields_ns(), 0,
        (delay_per_route_rank * last_delayed_rank).count()));
    return {0, static_cast<std::uint32_t>(delay / delay_per_route_rank)};
}

} // namespace

peer::Frame job_frame(const std::string& service,
                      const decision::stage_job& job, instant now)
{
    peer::Frame frame;
    peer::Job& message = *frame.mutable_job();
    message.set_number(job.number);
    message.set_service(service);
    message.set_request(job.request);
    message.set_content_high(job.content.high);
    message.set_content_low(job.content.low);
    message.set_stage(job.stage);
    message.set_pieces(job.pieces);
    message.set_key(job.key);
    for (const std::string& input : job.inputs)
        message.add_inputs(input);
    message.set_result_bytes(job.result_bytes);
    message.set_input_bytes(job.input_bytes);
    message.set_is_late(job.is_late);
    message.set_zone(job.zone);
    message.set_is_begun(job.is_started);
    message.set_yields_ns(delay_of(job.urgency).count());
    message.set_account_rank(job.urgency.account_rank);
    message.set_route_rank(job.urgency.route_rank);
    message.set_account(job.account);
    message.set_is_returning(job.is_returning);
    message.set_continues_stream(job.continues_stream);
    message.set_accepts_rejection(job.accepts_rejection);
    message.set_due_in_ns((job.due - now).count());
    message.set_expires_in_ns((job.expires - now).count());
    for (const decision::downstream_pieces& stage : job.downstream)
    {
        peer::LaterPieces& later = *message.add_later();
        later.set_service(stage.service);
        later.set_pieces(stage.pieces);
    }
    return frame;
}

decision::service_wait_times read_wait_times(const peer::Backlog& message)
{
    const auto read_time = [](std::int64_t ns)
    { return std::max(bounded_time(ns), duration::zero()); };
    return {read_time(message.in_time_ns()), read_time(message.wait_ns()),
            read_time(message.call_ns()),
            read_time(message.time_per_piece_ns())};
}

decision::stage_job read_job(const peer::Job& message, instant now)
{
    decision::stage_job job;
    job.request = message.request();
    job.content = {message.content_high(), message.content_low()};
    job.stage = message.stage();
    job.pieces = std::min(message.pieces(), max_pieces);
    job.key = message.key();
    job.inputs.assign(message.inputs().begin(), message.inputs().end());
    job.result_bytes = message.result_bytes();
    job.input_bytes = message.input_bytes();
    job.is_late = message.is_late();
    job.zone = message.zone();
    job.is_started = message.is_begun();
    job.urgency = read_urgency(message);
    job.account = message.account();
    job.is_returning = message.is_returning();
    job.continues_stream = message.continues_stream();
    job.accepts_rejection = message.accepts_rejection();
    job.due = now + bounded_time(message.due_in_ns());
    job.expires = now + bounded_time(message.expires_in_ns());
    for (const peer::LaterPieces& later : message.later())
        job.downstream.push_back(
            {later.service(), std::min(later.pieces(), max_pieces)});
    return job;
}

void write_target_crash(const decision::target_crash& crash, instant now,
                        peer::TargetEnd& message)
{
    message.set_content_high(crash.content.high);
    message.set_content_low(crash.content.low);
    message.set_target(crash.target.id);
    message.set_born(crash.target.started_ms);
    message.set_began_ago_ns((now - crash.started_at).count());
    message.set_ended_ago_ns((now - crash.crashed_at).count());
    message.set_is_refuted(crash.is_refuted);
    message.set_is_claim(crash.is_claim);
    message.set_is_part(crash.is_part);
    message.set_accounts(crash.accounts.bits());
    message.set_versions(crash.versions.bits());
}

decision::target_crash read_target_crash(const peer::TargetEnd& message,
                                         instant now)
{
    // A crash with a time in the future, as another entry may send it, would
    // never expire.
    const duration crashed_ago(
        std::max<std::int64_t>(0, message.ended_ago_ns()));
    const duration started_ago(message.began_ago_ns());
    return {{message.content_high(), message.content_low()},
            {message.target(), message.born()},
            now - std::max(started_ago, crashed_ago),
            now - crashed_ago,
            message.is_refuted(),
            message.is_claim(),
            message.is_part(),
            decision::name_set(message.accounts()),
            decision::name_set(message.versions())};
}

void write_zones(const decision::zone_snapshot& known, peer::Holding& message)
{
    message.set_zones_whole_at(known.complete_as_of);
    for (const decision::zone_state& word : known.states)
    {
        peer::Zone& zone = *message.add_zones();
        zone.set_name(word.zone);
        zone.set_revision(word.revision);
        zone.set_is_evacuated(word.is_evacuated);
    }
}

decision::zone_snapshot read_zones(const peer::Holding& message)
{
    decision::zone_snapshot zones;
    zones.complete_as_of = message.zones_whole_at();
    for (const peer::Zone& zone : message.zones())
        zones.states.push_back(
            {zone.name(), zone.revision(), zone.is_evacuated()});
    return zones;
}

void write_request_limits(const decision::request_limits& limits, instant now,
                          peer::Holding& message)
{
    for (const decision::limit_statement& known : limits.statements())
    {
        peer::RequestLimit& limit = *message.add_limits();
        limit.set_target(known.target.id);
        limit.set_born(known.target.started_ms);
        if (known.per_second)
            limit.set_per_second(*known.per_second);
        limit.set_stated_ago_ns((now - known.stated_at).count());
    }
}

std::vector<decision::limit_statement>
read_request_limits(const peer::Holding& message, instant now)
{
    std::vector<decision::limit_statement> limits;
    for (const peer::RequestLimit& limit : message.limits())
    {
        const bool is_valid =
            !limit.has_per_second() ||
            (std::isfinite(limit.per_second()) && limit.per_second() >= 0);
        if (!is_valid)
            continue;
        const duration age(std::clamp<std::int64_t>(
            limit.stated_ago_ns(), 0, now.time_since_epoch().count()));
        limits.push_back({{limit.target(), limit.born()},
                          limit.has_per_second()
                              ? std::optional(limit.per_second())
                              : std::nullopt,
                          now - age});
    }
    return limits;
}

peer::Frame job_end_frame(std::uint64_t number, const job_outcome& outcome)
{
    peer::Frame frame;
    peer::JobEnd& message = *frame.mutable_job_end();
    message.set_number(number);
    message.set_end(static_cast<std::uint32_t>(outcome.status));
    message.set_was_late(outcome.was_late);
    message.set_retry_in_ns(outcome.retry_in.count());
    for (const std::string& handle : outcome.handles)
        message.add_handles(handle);
    return frame;
}

job_outcome read_outcome(const peer::JobEnd& message)
{
    job_outcome outcome;
    constexpr auto last =
        static_cast<std::uint32_t>(decision::job_status::rejected);
    // A later version may know further ways to end.
    outcome.status = message.end() > last
                         ? decision::job_status::failed
                         : static_cast<decision::job_status>(message.end());
    outcome.was_late = message.was_late();
    outcome.retry_in =
        duration(std::max<std::int64_t>(0, message.retry_in_ns()));
    outcome.handles.assign(message.handles().begin(), message.handles().end());
    return outcome;
}

namespace
{

/// About 10 KB: an urgent frame waits behind one part at most.
constexpr std::size_t targets_per_part = 100;

bool is_address(const std::string& text)
{
    try
    {
        runtime::address::parse(text);
        return true;
    }
    catch (const runtime::address_error&)
    {
        return false;
    }
}

void write_target(const decision::listed_target& listed, peer::Target& target)
{
    target.set_id(listed.incarnation.id);
    target.set_born(listed.incarnation.started_ms);
    target.set_service(listed.service);
    target.set_address(listed.address);
    target.set_zone(listed.zone);
    target.set_slots(listed.slots);
    target.set_is_leaving(listed.is_leaving);
    target.set_is_removed(listed.address.empty());
    target.set_cold_for_ns(listed.warm_up_left.count());
    target.set_revision(listed.revision);
    target.set_version(listed.version);
}

} // namespace

frame_socket::part_source
target_parts(const decision::target_directory& directory)
{
    return [all = directory.all(), next = std::size_t{0},
            is_done = false](peer::Frame& frame) mutable
    {
        if (is_done)
            return false;
        peer::Targets& message = *frame.mutable_targets();
        const std::size_t end = std::min(next + targets_per_part, all.size());
        for (; next < end; ++next)
            write_target(all[next], *message.add_targets());
        is_done = next == all.size();
        message.set_has_more(!is_done);
        return true;
    };
}

std::vector<decision::listed_target>
apply_targets(const peer::Targets& message,
              decision::target_directory& directory)
{
    std::vector<decision::listed_target> new_targets;
    for (const peer::Target& received : message.targets())
    {
        // Another entry may validate addresses less strictly than this one.
        if (received.is_removed() || !is_address(received.address()))
        {
            if (directory.note_confirmed_removal(received.id(),
                                                 received.revision()))
                runtime::event("target_removed")
                    .with("target", received.id())
                    .with("as", "gone")
                    .with("from", "entry")
                    .with("revision", received.revision())
                    .info();
            continue;
        }
        decision::listed_target target{
            {received.id(), received.born()},
            received.service(),
            received.address(),
            received.zone(),
            received.slots(),
            received.is_leaving(),
            received.revision(),
            duration(received.cold_for_ns()),
            decision::bounded_version(received.version())};
        if (directory.note(target))
            new_targets.push_back(std::move(target));
    }
    return new_targets;
}

} // namespace mangofold::serving

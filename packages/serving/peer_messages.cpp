#include "serving/peer_messages.hpp"

#include "runtime/address.hpp"

#include <algorithm>

namespace mangofold::serving
{

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
    for (const std::string& one : job.inputs)
        message.add_inputs(one);
    message.set_result_bytes(job.result_bytes);
    message.set_input_bytes(job.input_bytes);
    message.set_is_late(job.is_late);
    message.set_zone(job.zone);
    message.set_is_begun(job.is_started);
    message.set_yields_ns(job.priority_delay.count());
    message.set_due_in_ns((job.due - now).count());
    message.set_expires_in_ns((job.expires - now).count());
    for (const decision::downstream_pieces& one : job.downstream)
    {
        peer::LaterPieces& later = *message.add_later();
        later.set_service(one.service);
        later.set_pieces(one.pieces);
    }
    return frame;
}

decision::stage_job job_of(const peer::Job& message, instant now)
{
    decision::stage_job job;
    job.request = message.request();
    job.content = {message.content_high(), message.content_low()};
    job.stage = message.stage();
    job.pieces = message.pieces();
    job.key = message.key();
    job.inputs.assign(message.inputs().begin(), message.inputs().end());
    job.result_bytes = message.result_bytes();
    job.input_bytes = message.input_bytes();
    job.is_late = message.is_late();
    job.zone = message.zone();
    job.is_started = message.is_begun();
    job.priority_delay = duration(message.yields_ns());
    job.due = now + duration(message.due_in_ns());
    job.expires = now + duration(message.expires_in_ns());
    for (const peer::LaterPieces& one : message.later())
        job.downstream.push_back({one.service(), one.pieces()});
    return job;
}

void write_end(const decision::target_end& one, instant now,
               peer::TargetEnd& message)
{
    message.set_content_high(one.content.high);
    message.set_content_low(one.content.low);
    message.set_target(one.target.id);
    message.set_born(one.target.born);
    message.set_began_ago_ns((now - one.began).count());
    message.set_ended_ago_ns((now - one.ended).count());
    message.set_is_refuted(one.is_refuted);
    message.set_is_claim(one.is_claim);
}

decision::target_end end_of(const peer::TargetEnd& message, instant now)
{
    // An end with a time in the future, as another entry may send it, would
    // never expire.
    const duration ended(std::max<std::int64_t>(0, message.ended_ago_ns()));
    const duration began(message.began_ago_ns());
    return {{message.content_high(), message.content_low()},
            {message.target(), message.born()},
            now - std::max(began, ended),
            now - ended,
            message.is_refuted(),
            message.is_claim()};
}

void write_zones(const decision::zone_words& known, peer::Holding& message)
{
    message.set_zones_whole_at(known.whole_at);
    for (const decision::zone_word& one : known.words)
    {
        peer::Zone& zone = *message.add_zones();
        zone.set_name(one.zone);
        zone.set_revision(one.revision);
        zone.set_is_evacuated(one.is_evacuated);
    }
}

decision::zone_words zones_of(const peer::Holding& message)
{
    decision::zone_words told;
    told.whole_at = message.zones_whole_at();
    for (const peer::Zone& one : message.zones())
        told.words.push_back({one.name(), one.revision(), one.is_evacuated()});
    return told;
}

peer::Frame job_end_frame(std::uint64_t number, const piece_outcome& outcome)
{
    peer::Frame frame;
    peer::JobEnd& message = *frame.mutable_job_end();
    message.set_number(number);
    message.set_end(static_cast<std::uint32_t>(outcome.end));
    message.set_was_late(outcome.was_late);
    for (const std::string& one : outcome.handles)
        message.add_handles(one);
    return frame;
}

piece_outcome outcome_of(const peer::JobEnd& message)
{
    piece_outcome outcome;
    constexpr auto last =
        static_cast<std::uint32_t>(decision::job_status::failed);
    outcome.end =
        static_cast<decision::job_status>(std::min(message.end(), last));
    outcome.was_late = message.was_late();
    outcome.handles.assign(message.handles().begin(), message.handles().end());
    return outcome;
}

namespace
{

/// About 10 KB: an urgent frame waits behind one part at most.
constexpr std::size_t targets_in_part = 100;

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

void write_target(const decision::listed_target& one, peer::Target& target)
{
    target.set_id(one.start.id);
    target.set_born(one.start.born);
    target.set_service(one.service);
    target.set_address(one.address);
    target.set_zone(one.zone);
    target.set_slots(one.slots);
    target.set_is_leaving(one.is_leaving);
    target.set_is_removed(one.address.empty());
    target.set_cold_for_ns(one.cold_for.count());
    target.set_revision(one.revision);
}

} // namespace

frame_socket::part_source
target_parts(const decision::target_directory& directory)
{
    return [all = directory.all(), at = std::size_t{0},
            is_done = false](peer::Frame& frame) mutable
    {
        if (is_done)
            return false;
        peer::Targets& message = *frame.mutable_targets();
        const std::size_t end = std::min(at + targets_in_part, all.size());
        for (; at < end; ++at)
            write_target(all[at], *message.add_targets());
        is_done = at == all.size();
        message.set_has_more(!is_done);
        return true;
    };
}

std::vector<decision::listed_target>
take_targets(const peer::Targets& message,
             decision::target_directory& directory)
{
    std::vector<decision::listed_target> news;
    for (const peer::Target& one : message.targets())
    {
        // Another entry may validate addresses less strictly than this one.
        if (one.is_removed() || !is_address(one.address()))
        {
            directory.note_gone(one.id(), one.revision());
            continue;
        }
        decision::listed_target target{{one.id(), one.born()},
                                       one.service(),
                                       one.address(),
                                       one.zone(),
                                       one.slots(),
                                       one.is_leaving(),
                                       one.revision(),
                                       duration(one.cold_for_ns())};
        if (directory.note(target))
            news.push_back(std::move(target));
    }
    return news;
}

} // namespace mangofold::serving

#include "serving/stream_messages.hpp"

#include "serving/stream_registry.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// Longest names that another entry may send: versions are bounded where they
/// are read, and names of services are far shorter.
constexpr std::size_t max_name_length = 256;

/// Most versions in an observation: far more than the services have together.
constexpr int max_versions = 1000;

/// Returns the time \a ago_ns before \a now; no time that matters is longer ago
/// than the longest lifetime of a stream, and none is in the future.
decision::instant time_before(decision::instant now, std::int64_t ago_ns)
{
    constexpr std::int64_t longest_ns = (2 * max_stream_lifetime).count();
    return now -
           decision::duration(std::clamp<std::int64_t>(ago_ns, 0, longest_ns));
}

} // namespace

decision::stream_key read_stream_key(const peer::StreamOrigin& message)
{
    return {message.key_high(), message.key_low()};
}

void write_stream_origin(const decision::stream_key& key,
                         const decision::origin_records::record& known,
                         decision::instant now, peer::StreamOrigin& message)
{
    message.set_key_high(key.high);
    message.set_key_low(key.low);
    message.set_service(known.origin.service);
    message.set_version(known.origin.version);
    message.set_began_ago_ns((now - known.began_at).count());
    message.set_expires_in_ns((known.expires_at - now).count());
    message.set_is_ambiguous(known.is_ambiguous);
}

std::optional<decision::origin_records::record>
read_stream_origin(const peer::StreamOrigin& message, decision::instant now)
{
    const bool is_valid = !message.service().empty() &&
                          !message.version().empty() &&
                          message.service().size() <= max_name_length &&
                          message.version().size() <= max_name_length;
    if (!is_valid)
        return std::nullopt;
    decision::origin_records::record known;
    known.origin = {message.service(), message.version()};
    known.is_ambiguous = message.is_ambiguous();
    const std::int64_t longest_ns = max_stream_lifetime.count();
    known.began_at = now - decision::duration(std::clamp<std::int64_t>(
                               message.began_ago_ns(), 0, longest_ns));
    known.expires_at = now + decision::duration(std::clamp<std::int64_t>(
                                 message.expires_in_ns(), 0, longest_ns));
    return known;
}

void note_stream_origins(const peer::StreamOrigins& message,
                         decision::instant now,
                         decision::origin_records& records,
                         decision::version_history& versions)
{
    for (const peer::StreamOrigin& received : message.origins())
        if (const auto known = read_stream_origin(received, now))
        {
            records.note(read_stream_key(received), *known);
            versions.note_stream(known->origin, known->began_at);
        }
}

bool answer_from_records(const peer::StreamQuestion& question,
                         const decision::origin_records& records,
                         decision::instant now, peer::StreamAnswer& answer)
{
    const decision::stream_key key{question.key_high(), question.key_low()};
    answer.set_number(question.number());
    const auto* known = records.find(key, now);
    if (known == nullptr)
        return false;
    answer.set_source(peer::StreamAnswer::RECORD);
    write_stream_origin(key, *known, now, *answer.mutable_origin());
    return true;
}

void write_version_observation(const decision::version_observation& seen,
                               decision::instant now,
                               peer::VersionObservation& message)
{
    message.set_since_ago_ns((now - seen.since).count());
    message.set_until_ago_ns((now - seen.until).count());
    message.set_revision(seen.revision);
    for (const auto& [origin, last_seen] : seen.last_seen)
    {
        peer::VersionObservation::Seen& version = *message.add_seen();
        version.set_service(origin.service);
        version.set_version(origin.version);
        version.set_ago_ns((now - last_seen).count());
    }
}

std::optional<decision::version_observation>
read_version_observation(const peer::VersionObservation& message,
                         decision::instant now)
{
    if (message.since_ago_ns() < message.until_ago_ns() ||
        message.until_ago_ns() < 0 || message.seen_size() > max_versions)
        return std::nullopt;
    decision::version_observation seen{time_before(now, message.since_ago_ns()),
                                       time_before(now, message.until_ago_ns()),
                                       {},
                                       message.revision()};
    for (const peer::VersionObservation::Seen& version : message.seen())
    {
        if (version.service().empty() ||
            version.service().size() > max_name_length ||
            version.version().size() > max_name_length)
            return std::nullopt;
        seen.last_seen[{version.service(), version.version()}] =
            time_before(now, version.ago_ns());
    }
    return seen;
}

} // namespace mangofold::serving

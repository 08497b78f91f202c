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

} // namespace mangofold::serving

#pragma once

#include "decision/streams/origin_records.hpp"
#include "peer.pb.h"

#include <optional>

namespace mangofold::serving
{

decision::stream_key read_stream_key(const peer::StreamOrigin& message);

void write_stream_origin(const decision::stream_key& key,
                         const decision::origin_records::record& known,
                         decision::instant now, peer::StreamOrigin& message);

/// Returns the record in \a message, or nothing if no sound entry sends it.
std::optional<decision::origin_records::record>
read_stream_origin(const peer::StreamOrigin& message, decision::instant now);

} // namespace mangofold::serving

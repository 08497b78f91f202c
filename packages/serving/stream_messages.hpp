#pragma once

#include "decision/streams/origin_records.hpp"
#include "decision/streams/version_history.hpp"
#include "peer.pb.h"

#include <optional>

namespace mangofold::serving
{

/// Records per datagram to or from a record keeper, some 1 KB: one packet.
constexpr int origins_per_datagram = 12;

decision::stream_key read_stream_key(const peer::StreamOrigin& message);

void write_stream_origin(const decision::stream_key& key,
                         const decision::origin_records::record& known,
                         decision::instant now, peer::StreamOrigin& message);

/// Returns the record in \a message, or nothing if no sound entry sends it.
std::optional<decision::origin_records::record>
read_stream_origin(const peer::StreamOrigin& message, decision::instant now);

/// Adds the records in \a message to \a records, and the versions at which
/// these streams began to \a versions.
void note_stream_origins(const peer::StreamOrigins& message,
                         decision::instant now,
                         decision::origin_records& records,
                         decision::version_history& versions);

/// Writes the record that \a question asks for, if it is among \a records.
/// Returns whether it is.
bool answer_from_records(const peer::StreamQuestion& question,
                         const decision::origin_records& records,
                         decision::instant now, peer::StreamAnswer& answer);

void write_version_observation(const decision::version_observation& seen,
                               decision::instant now,
                               peer::VersionObservation& message);

/// Returns the observation in \a message, or nothing if no sound process sends
/// it.
std::optional<decision::version_observation>
read_version_observation(const peer::VersionObservation& message,
                         decision::instant now);

} // namespace mangofold::serving

#pragma once

#include "decision/stage_job.hpp"
#include "decision/target_crash.hpp"
#include "decision/target_directory.hpp"
#include "decision/zone_evacuations.hpp"
#include "peer.pb.h"
#include "serving/asio.hpp"
#include "serving/frame_socket.hpp"
#include "serving/piece_maker.hpp"

#include <string>
#include <vector>

namespace mangofold::serving
{

/// Returns the frame that asks for \a job; its times are sent as what is
/// left of them at \a now, since clocks differ.
peer::Frame job_frame(const std::string& service,
                      const decision::stage_job& job, instant now);
decision::stage_job job_of(const peer::Job& message, instant now);

/// The same of an end of a target.
void write_end(const decision::target_crash& one, instant now,
               peer::TargetEnd& message);
decision::target_crash end_of(const peer::TargetEnd& message, instant now);

/// The same of evacuated zones, in what an entry holds.
void write_zones(const decision::zone_snapshot& known, peer::Holding& message);
decision::zone_snapshot zones_of(const peer::Holding& message);

peer::Frame job_end_frame(std::uint64_t number, const piece_outcome& outcome);
piece_outcome outcome_of(const peer::JobEnd& message);

/// Returns what sends all that \a directory knows, in parts.
frame_socket::part_source
target_parts(const decision::target_directory& directory);

/// Takes in what another entry knows of targets. Returns those that were news.
std::vector<decision::listed_target>
take_targets(const peer::Targets& message,
             decision::target_directory& directory);

} // namespace mangofold::serving

#pragma once

#include "decision/request_limits.hpp"
#include "decision/stages/downstream_backlog.hpp"
#include "decision/stages/stage_job.hpp"
#include "decision/target_crash.hpp"
#include "decision/target_directory.hpp"
#include "decision/zone_evacuations.hpp"
#include "peer.pb.h"
#include "serving/asio.hpp"
#include "serving/frame_socket.hpp"
#include "serving/job_executor.hpp"

#include <string>
#include <vector>

namespace mangofold::serving
{

/// Returns the frame that submits \a job. Its times are sent relative to \a
/// now, since the clocks of instances differ.
peer::Frame job_frame(const std::string& service,
                      const decision::stage_job& job, instant now);
/// Returns the wait times of \a message. Absurd values are bounded.
decision::service_wait_times read_wait_times(const peer::Backlog& message);

/// Returns the job of a message received at \a now. Absurd values are bounded.
decision::stage_job read_job(const peer::Job& message, instant now);

/// Writes \a crash into \a message, with times relative to \a now.
void write_target_crash(const decision::target_crash& crash, instant now,
                        peer::TargetEnd& message);
/// Returns the target crash of \a message, received at \a now.
decision::target_crash read_target_crash(const peer::TargetEnd& message,
                                         instant now);

/// Writes evacuated zones into the state that an entry sends.
void write_zones(const decision::zone_snapshot& known, peer::Holding& message);
decision::zone_snapshot read_zones(const peer::Holding& message);

/// Writes what is known of the request limits of targets into the state that an
/// entry sends, with times relative to \a now.
void write_request_limits(const decision::request_limits& limits, instant now,
                          peer::Holding& message);
/// Returns the statements of \a message, received at \a now, that are valid.
std::vector<decision::limit_statement>
read_request_limits(const peer::Holding& message, instant now);

peer::Frame job_end_frame(std::uint64_t number, const job_outcome& outcome);
job_outcome read_outcome(const peer::JobEnd& message);

/// Returns a source of frames that hold all targets of \a directory, in parts.
frame_socket::part_source
target_parts(const decision::target_directory& directory);

/// Applies targets received from another entry. Returns those that were new.
std::vector<decision::listed_target>
apply_targets(const peer::Targets& message,
              decision::target_directory& directory);

} // namespace mangofold::serving

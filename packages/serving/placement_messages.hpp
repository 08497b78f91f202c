#pragma once

#include "decision/admission/urgency.hpp"
#include "decision/engines/generation_record.hpp"
#include "peer.pb.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace mangofold::serving
{

/// A generation for which an entry asks for an engine.
struct placement_request
{
    std::uint64_t number = 0;
    decision::generation_request work;
    std::string zone;               ///< Of the entry.
    std::set<std::string> excluded; ///< Ids of targets.
    std::string version; ///< The only one to choose from; empty for all.
    decision::urgency urgency;
    /// Set if the entry has chosen an engine itself.
    std::optional<decision::target_incarnation> chosen;

    friend bool operator==(const placement_request&,
                           const placement_request&) = default;
};

peer::Frame placement_request_frame(const placement_request& request);
placement_request read_placement_request(const peer::PlacementRequest& message);

peer::Frame generation_update_frame(std::uint64_t number,
                                    decision::generation_event event,
                                    decision::duration after);
/// Returns the event of \a message, or nothing if it is unknown.
std::optional<decision::generation_event>
read_generation_event(const peer::GenerationUpdate& message);

} // namespace mangofold::serving

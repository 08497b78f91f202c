#pragma once

#include "decision/decaying_max.hpp"
#include "decision/drain.hpp"
#include "decision/entry_roster.hpp"
#include "decision/moving_mean.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::test
{

using namespace mangofold::decision;

/// A request that an entry has taken and not answered.
struct running_request
{
    std::size_t number = 0;
    bool is_return = false;
    instant taken_at{};
    instant sent_at{};
};

/// One entry of the model.
struct entry
{
    explicit entry(int number) : name("e" + std::to_string(number)) {}
    std::string name;
    bool is_up = true;
    int incarnation = 0;
    std::optional<instant> stopped_at{}; ///< Until it has restarted.
    std::optional<drain> draining{};
    std::optional<entry_roster> roster{};
    std::vector<moving_mean> typical{};
    std::vector<decaying_max> longest{};
    std::map<std::uint64_t, running_request> running{};
};

/// A connection that a caller keeps open.
struct connection
{
    int entry = -1;
    int incarnation = 0;
    bool is_busy = false;
};

} // namespace mangofold::test

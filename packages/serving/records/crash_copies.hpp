#pragma once

#include "decision/streams/copy_placement.hpp"
#include "serving/records/keeper_client.hpp"
#include "serving/target_losses.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// Exchanges the recorded crashes of targets with some record keepers, so that
/// a quarantine outlives all entries.
class crash_copies
{
public:
    crash_copies(entry_context& context, keeper_client& keepers)
        : m_context(context), m_keepers(keepers)
    {
    }

    /// Sends what is new, and asks keepers for what they know.
    void maintain();

    /// Calls maintain() periodically. Never returns.
    awaitable<void> run();

    /// Handles a reply of the record keeper at \a address.
    void handle(const std::string& address, const peer::Frame& frame);

private:
    struct keeper_state
    {
        explicit keeper_state(entry_context& context) : sync(context) {}

        crash_log_sync sync;
        std::optional<std::uint64_t> born;
        std::uint64_t last_change = 0; ///< Of the keeper, that was received.
        bool is_read = false;          ///< All that it knew was received.
    };

    void ask(const std::string& address, const keeper_state& state);

    entry_context& m_context;
    keeper_client& m_keepers;
    decision::copy_placement m_placement;
    std::map<std::string, keeper_state> m_states; ///< By address.
};

} // namespace mangofold::serving

#include "serving/records/crash_copies.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// How many record keepers know the crashes.
constexpr std::size_t crash_keepers = 3;

/// How often an entry sends what is new. A new part that crashes targets does
/// so several times before it is quarantined.
constexpr duration round_interval = std::chrono::milliseconds(200);

/// At most one entry in so many sends in each interval: each of them knows the
/// crashes that the others saw.
constexpr std::size_t entries_per_round = 50;

} // namespace

void crash_copies::ask(const std::string& address, const keeper_state& state)
{
    peer::Frame frame;
    frame.mutable_ends_question()->set_after(state.last_change);
    m_keepers.send(address, frame);
}

// A keeper that stops responding may have missed something: it is read and sent
// everything again when it is back. Logs only grow by merging, so that reading
// an older copy takes nothing back.
void crash_copies::maintain()
{
    m_placement.set_entries(m_keepers.candidates());
    const std::vector<std::string> holders =
        m_placement.holders({}, crash_keepers);
    std::erase_if(m_states, [&holders](const auto& known)
                  { return std::ranges::count(holders, known.first) == 0; });
    for (const std::string& address : holders)
    {
        keeper_state& state =
            m_states.try_emplace(address, m_context).first->second;
        peer::Frame frame;
        if (!state.is_read)
            ask(address, state);
        else if (state.sync.write(*frame.mutable_ends()))
            m_keepers.send(address, frame);
    }
}

void crash_copies::handle(const std::string& address, const peer::Frame& frame)
{
    const auto found = m_states.find(address);
    if (found == m_states.end())
        return;
    keeper_state& state = found->second;
    if (frame.has_ends() && !state.is_read)
    {
        handle_target_crashes(m_context, frame.ends(), address);
        state.is_read = frame.ends().ends_size() == 0;
        state.last_change = frame.ends().next();
        if (!state.is_read)
            ask(address, state);
    }
    if (!frame.has_kept())
        return;
    if (state.born && *state.born != frame.kept().born())
        state.sync.reset();
    state.born = frame.kept().born();
    state.sync.set_peer_summary(frame.kept().ends_summary());
}

awaitable<void> crash_copies::run()
{
    loop_timer timer(m_context.loop);
    for (;;)
    {
        const auto rounds = static_cast<std::int64_t>(
            1 + m_context.fleet_size() / entries_per_round);
        error_code ignored; // The timer is never cancelled.
        timer.expires_after(round_interval * rounds);
        co_await timer.async_wait(store_error_in(ignored));
        maintain();
    }
}

} // namespace mangofold::serving

#include "decision/owner_order.hpp"
#include "entry/pipeline_progress.hpp"

namespace mangofold::entry
{

using namespace decision;

std::vector<std::string>
pipeline_runner::owners(const progress& state,
                        const manifest::stage& stage) const
{
    std::vector<std::string> targets;
    for (const auto& target : state.document.find_pool(stage.pool)->targets)
        targets.push_back(target.id);
    const request_key key{state.client_request.account, state.client_request.id,
                          stage.id};
    return owner_order(digest_of(key), std::move(targets));
}

std::optional<std::string>
pipeline_runner::mint_tickets(const request& value,
                              const manifest::pipeline& pipeline,
                              const configuration::snapshot_ptr& snapshot)
{
    constexpr duration max_wait = std::chrono::seconds(1);
    progress state(value, snapshot->document, pipeline,
                   m_clock.now() + max_wait);
    std::vector<stage_ticket> tickets;
    for (const manifest::stage& stage : pipeline.stages)
    {
        if (stage.is_repeatable)
            continue;
        std::optional<ticket> minted;
        for (const std::string& owner : owners(state, stage))
        {
            if (minted || m_clock.now() >= state.deadline)
                break;
            if (!m_sidecars.request_ticket(owner, state.replies))
                continue;
            const instant reply_deadline = m_clock.now() + max_wait / 4;
            const auto arrived =
                state.replies->take(reply_deadline - m_clock.now());
            if (arrived && std::holds_alternative<ticket_message>(*arrived))
                minted = std::get<ticket_message>(*arrived).value;
        }
        if (!minted)
            return std::nullopt;
        tickets.push_back({stage.id, *minted});
    }
    return to_text(tickets);
}

} // namespace mangofold::entry

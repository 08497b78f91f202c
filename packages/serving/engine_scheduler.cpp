#include "serving/engine_scheduler.hpp"

#include "decision/engines/engine_groups.hpp"
#include "runtime/event.hpp"

namespace mangofold::serving
{

namespace
{

/// How long an entry waits for an answer: a tenth of a typical time to the
/// first event, and several round trips between zones.
constexpr duration answer_timeout = std::chrono::milliseconds(40);

} // namespace

engine_scheduler::engine_scheduler(entry_context& context,
                                   placement_channel& channel)
    : m_context(context), m_channel(channel)
{
}

std::string
engine_scheduler::scheduler_for(const decision::generation_request& work)
{
    const auto groups = decision::engine_groups(
        work.service, m_context.directory.serving(work.service).size());
    const std::string& group = decision::group_of_prompt(work.prompt, groups);
    std::string scheduler = m_channel.scheduler_of(group);
    note_scheduler(group, scheduler);
    return scheduler;
}

void engine_scheduler::note_scheduler(const std::string& group,
                                      const std::string& scheduler)
{
    std::string& known = m_schedulers[group];
    if (known == scheduler)
        return;
    known = scheduler;
    runtime::event("engine_scheduler_changed")
        .with("engines", group)
        .with("entry", scheduler)
        .info();
}

// An answer that arrives after a change of the scheduler is not used: the new
// one does not know of it.
awaitable<engine_scheduler::answer>
engine_scheduler::ask(const std::string& scheduler,
                      const placement_request& request)
{
    if (!m_contact.should_ask(scheduler, m_context.now()))
        co_return answer{};
    const auto asked = std::make_shared<question>(m_context.loop, scheduler);
    m_questions[request.number] = asked;
    m_channel.send(scheduler, placement_request_frame(request));
    const bool is_answered = co_await asked->answered.wait(answer_timeout);
    m_questions.erase(request.number);
    if (!is_answered)
    {
        note_silence(scheduler);
        co_return answer{true, std::nullopt};
    }
    m_contact.note_answered(scheduler);
    const peer::Placement& placement = *asked->placement;
    const decision::target_incarnation target(placement.target(),
                                              placement.born());
    if (m_context.directory.find(target) == nullptr ||
        scheduler_for(request.work) != scheduler)
        co_return answer{};
    m_context.engines.pace().note_reported(target, placement.pace(),
                                           m_context.now());
    co_return answer{false, target};
}

void engine_scheduler::note_silence(const std::string& scheduler)
{
    if (m_contact.note_unanswered(scheduler, m_context.now()))
        runtime::event("engine_scheduler_silent")
            .with("entry", scheduler)
            .warn();
}

void engine_scheduler::report_choice(const std::string& scheduler,
                                     const placement_request& request)
{
    m_channel.send(scheduler, placement_request_frame(request));
}

void engine_scheduler::report_event(const std::string& scheduler,
                                    std::uint64_t number,
                                    decision::generation_event event,
                                    duration after)
{
    m_channel.send(scheduler, generation_update_frame(number, event, after));
}

void engine_scheduler::handle_placement(const std::string& address,
                                        const peer::Placement& message)
{
    const auto found = m_questions.find(message.number());
    if (found == m_questions.end() || found->second->scheduler != address)
        return;
    found->second->placement = message;
    found->second->answered.set();
}

const decision::listed_target*
engine_scheduler::choose(const placement_request& request)
{
    const std::string& service = request.work.service;
    const auto& all = m_context.directory.serving(service);
    const auto groups = decision::engine_groups(service, all.size());
    const std::string& group =
        decision::group_of_prompt(request.work.prompt, groups);
    std::vector<const decision::listed_target*> candidates;
    for (const decision::listed_target* target : all)
        if (!request.excluded.contains(target->incarnation.id) &&
            (request.version.empty() || request.version == target->version) &&
            decision::group_of_engine(target->incarnation.id, groups) == group)
            candidates.push_back(target);
    return m_context.engines.choose(candidates, {}, request.work, request.zone,
                                    m_context.now());
}

// A choice that another entry has made itself replaces this entry's answer, if
// that came too late or could not be used.
std::optional<peer::Frame>
engine_scheduler::handle_request(const std::string& sender,
                                 const peer::PlacementRequest& message)
{
    placement_request request = read_placement_request(message);
    request.work.limits = m_context.engine_limits_of(request.work.service);
    const decision::generation_key key{sender, request.number};
    const instant now = m_context.now();
    if (request.chosen)
    {
        m_context.generations.note_event(key, decision::generation_event::ended,
                                         {}, now);
        if (m_context.directory.find(*request.chosen) != nullptr)
            m_context.generations.add(key, *request.chosen, request.work, now);
        return std::nullopt;
    }
    peer::Frame reply;
    peer::Placement& placement = *reply.mutable_placement();
    placement.set_number(request.number);
    const auto* target = choose(request);
    if (target == nullptr)
        return reply;
    const decision::target_incarnation& id = target->incarnation;
    placement.set_target(id.id);
    placement.set_born(id.started_ms);
    placement.set_pace(m_context.engines.pace().learned_pace(id, now));
    m_context.generations.add(key, id, request.work, now);
    return reply;
}

void engine_scheduler::handle_update(const std::string& sender,
                                     const peer::GenerationUpdate& message)
{
    if (const auto event = read_generation_event(message))
        m_context.generations.note_event({sender, message.number()}, *event,
                                         duration(message.after_ns()),
                                         m_context.now());
}

void engine_scheduler::note_sender_lost(const std::string& sender)
{
    m_context.generations.note_sender_lost(sender, m_context.now());
}

void engine_scheduler::maintain()
{
    const instant now = m_context.now();
    m_context.generations.expire(now);
    const auto [lowest, highest] = m_context.engines.pace().range(now);
    m_context.metrics.set_gauge(
        {"engine_pace", runtime::label("which", "lowest")}, lowest);
    m_context.metrics.set_gauge(
        {"engine_pace", runtime::label("which", "highest")}, highest);
    m_context.metrics.set_gauge(
        {"generations_recorded", {}},
        static_cast<double>(m_context.generations.size()));
}

} // namespace mangofold::serving

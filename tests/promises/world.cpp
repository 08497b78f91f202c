#include "world.hpp"

#include "mutations.hpp"

#include <algorithm>
#include <array>

namespace mangofold::promises
{

std::ostream& operator<<(std::ostream& out, const command& value)
{
    constexpr std::array names{"send",
                               "resume",
                               "deliver_to_sidecar",
                               "deliver_to_entry",
                               "finish_run",
                               "advance",
                               "advance_far",
                               "break_link",
                               "crash",
                               "replace",
                               "adopt",
                               "publish",
                               "set_target_leaving"};
    return out << names.at(static_cast<std::size_t>(value.type)) << '('
               << value.first_argument << ',' << value.second_argument << ')';
}

std::ostream& operator<<(std::ostream& out, const history& value)
{
    out << "request " << value.only_request << ':';
    for (const command& next : value.commands)
        out << ' ' << next;
    return out;
}

template<safeguard_set Safeguards>
world<Safeguards>::world(int only_request)
    : m_only_request(only_request), m_entries(entry_count),
      m_requests(request_count)
{
    m_processes.reserve(256);
    m_current_processes.resize(target_count);
    for (unsigned target = 0; target < target_count; ++target)
        start_process(target);
    // Lets the restart quarantine of every process end.
    advance(start_horizon + adoption_time);
    for (unsigned entry = 0; entry < entry_count; ++entry)
        for (unsigned target = 0; target < target_count; ++target)
            open_link(entry, target);
}

template<safeguard_set Safeguards>
void world<Safeguards>::execute(const command& next)
{
    using kind = command::kind;
    constexpr duration short_step = std::chrono::milliseconds(150);
    constexpr duration long_step = std::chrono::milliseconds(2100);
    const unsigned target = next.second_argument % target_count;
    switch (next.type)
    {
    case kind::send:
        return send(m_only_request < 0 ? next.first_argument % request_count
                                       : static_cast<unsigned>(m_only_request),
                    next.second_argument % entry_count);
    case kind::resume:
        return resume(next.first_argument);
    case kind::deliver_to_sidecar:
        return deliver_to_sidecar(next.first_argument);
    case kind::deliver_to_entry:
        return deliver_to_entry(next.first_argument);
    case kind::finish_run:
        return finish_run(next.first_argument);
    case kind::advance:
        return advance(short_step * (next.first_argument % 8 + 1));
    case kind::advance_far:
        return advance(long_step * (next.first_argument % 8 + 1));
    case kind::break_link:
        return break_link(next.first_argument % entry_count, target);
    case kind::crash:
        return crash(target);
    case kind::replace:
        return replace(target);
    case kind::adopt:
        return adopt(next.first_argument);
    case kind::publish:
        return publish();
    case kind::set_target_leaving:
    {
        const std::size_t process = m_current_processes[target];
        apply(process, m_processes[process].gate->set_leaving(
                           m_now, m_now + std::chrono::seconds(5)));
        return;
    }
    case kind::count:
        return;
    }
}

template<safeguard_set Safeguards>
void world<Safeguards>::send(unsigned request, unsigned entry)
{
    caller_request& request_state = m_requests[request];
    // Callers agree not to resend after the horizon.
    if (request_state.first_sent &&
        m_now > *request_state.first_sent + resend_horizon)
        return;
    const std::vector<std::string> owners = owner_order(
        digest_of(key_of(request)), targets_of(m_entries[entry].generation));
    const bool wants_ticket = request % 2 == 1;
    if (!request_state.first_sent && wants_ticket)
    {
        for (unsigned target = 0; target < target_count; ++target)
        {
            if (target_name(target) == owners.front())
                request_state.request_ticket =
                    m_processes[m_current_processes[target]].gate->issue_ticket(
                        m_now);
        }
    }
    if (!request_state.first_sent)
        request_state.first_sent = m_now;
    std::optional<std::string> ticket_target;
    if (request_state.request_ticket)
        ticket_target = request_state.request_ticket->target;
    m_calls.push_back({request, entry,
                       owned_run(attempt_policy{}, m_now + call_timeout, owners,
                                 ticket_target),
                       request_state.request_ticket, false, false,
                       m_now + call_timeout});
    resume(static_cast<unsigned>(m_calls.size() - 1));
}

template<safeguard_set Safeguards>
void world<Safeguards>::resume(unsigned index)
{
    if (m_calls.empty())
        return;
    const std::size_t chosen = index % m_calls.size();
    call& current = m_calls[chosen];
    if (current.has_ended)
        return;
    const attempt_step step = current.run.next_step(m_now);
    if (const auto* attempt = std::get_if<send_attempt>(&step))
        return submit(chosen, *attempt);
    const auto* ended = std::get_if<finish_stage>(&step);
    if (ended == nullptr)
        return;
    current.has_ended = true;
    current.was_refused = ended->result.status == stage_status::refused;
    if (ended->result.status == stage_status::done &&
        ended->result.body != request_name(current.request))
        report_violation("a caller received the answer to another request");
    check_refusals();
}

template<safeguard_set Safeguards>
void world<Safeguards>::submit(std::size_t index, const send_attempt& step)
{
    call& current = m_calls[index];
    unsigned target = 0;
    while (target < target_count && target_name(target) != step.target)
        ++target;
    const auto found = m_current_links.find({current.entry, target});
    if (found == m_current_links.end() || !m_links.at(found->second).grant)
        return current.run.not_sent(m_now);
    link& through_link = m_links.at(found->second);
    submission work;
    work.ref = {found->second, m_next_number++};
    work.key = key_of(current.request);
    work.attempt = step.attempt;
    work.is_repeatable = false;
    work.grant = *through_link.grant;
    work.generation = m_entries[current.entry].generation;
    work.budget = current.deadline - m_now;
    work.body = std::to_string(index);
    work.request_digest = digest_of(request_name(current.request));
    work.pinned_incarnation = step.pinned_incarnation != 0
                                  ? step.pinned_incarnation
                                  : through_link.grant->incarnation;
    if (step.uses_ticket)
        work.presented_ticket = current.request_ticket;
    work.renounced_by = step.renounced_by;
    m_open_submissions[work.ref] = index;
    through_link.to_sidecar.push_back({std::nullopt, work});
    current.run.sent(through_link.grant->incarnation);
}

template<safeguard_set Safeguards>
void world<Safeguards>::deliver_to_sidecar(unsigned index)
{
    std::vector<link_id> links_with_messages;
    for (const auto& [id, candidate] : m_links)
        if (!candidate.to_sidecar.empty())
            links_with_messages.push_back(id);
    if (links_with_messages.empty())
        return;
    const link_id id = links_with_messages[index % links_with_messages.size()];
    link& source = m_links.at(id);
    const wire_message message = source.to_sidecar.front();
    source.to_sidecar.pop_front();
    const std::size_t process = source.process;
    sidecar_process& receiver = m_processes[process];
    if (!receiver.gate)
        return;
    if (!message.opening)
        return submit_to_gate(process, message.work);
    const auto previous = receiver.link_of_entry.find(message.opening->entry);
    if (previous != receiver.link_of_entry.end())
        apply(process, receiver.gate->close_link(previous->second, m_now));
    receiver.link_of_entry[message.opening->entry] = id;
    source.grant = receiver.gate->issue_grant(id, m_now);
}

template<safeguard_set Safeguards>
void world<Safeguards>::submit_to_gate(std::size_t process,
                                       const submission& work)
{
    gate_type& gate = *m_processes[process].gate;
    const gate_effects effects = gate.submit(work, m_now);
    for (const gate_effect& effect : effects)
    {
        const auto* run = std::get_if<start_run>(&effect);
        if (run != nullptr && run->body == work.body &&
            work.generation != gate.generation())
            report_violation(
                "a run started under a different manifest than its submission");
    }
    apply(process, effects);
}

template<safeguard_set Safeguards>
void world<Safeguards>::deliver_to_entry(unsigned index)
{
    std::vector<link_id> links_with_messages;
    for (const auto& [id, candidate] : m_links)
        if (!candidate.to_entry.empty())
            links_with_messages.push_back(id);
    if (links_with_messages.empty())
        return;
    link& source =
        m_links.at(links_with_messages[index % links_with_messages.size()]);
    const send_result message = source.to_entry.front();
    source.to_entry.pop_front();
    const auto found = m_open_submissions.find(message.ref);
    if (!source.is_current || found == m_open_submissions.end())
        return;
    const std::size_t chosen = found->second;
    m_open_submissions.erase(found);
    m_calls[chosen].run.ended(message.attempt, message.result, m_now);
    resume(static_cast<unsigned>(chosen));
}

template<safeguard_set Safeguards>
void world<Safeguards>::finish_run(unsigned index)
{
    std::vector<std::pair<std::size_t, run_id>> running;
    for (std::size_t process = 0; process < m_processes.size(); ++process)
        for (const auto& [id, run] : m_processes[process].running)
            running.emplace_back(process, id);
    if (running.empty())
        return;
    const auto [process, id] = running[index % running.size()];
    sidecar_process& sidecar = m_processes[process];
    const start_run run = sidecar.running.at(id);
    sidecar.running.erase(id);
    if (!sidecar.gate)
        return;
    const stage_result result{
        stage_status::done, reason::none, run.key.request_id, {}, {}, false};
    apply(process, sidecar.gate->finish(id, result, m_now));
}

template<safeguard_set Safeguards>
void world<Safeguards>::advance(duration by)
{
    m_now += by;
    for (std::size_t index = 0; index < m_processes.size(); ++index)
    {
        sidecar_process& sidecar = m_processes[index];
        const bool is_current = m_current_processes[sidecar.target] == index;
        const bool is_overdue = sidecar.gate &&
                                sidecar.gate->generation() < m_generation &&
                                sidecar.outdated_since + adoption_time <= m_now;
        if (is_current && is_overdue)
            apply(index, sidecar.gate->set_configuration(
                             configuration(m_generation), m_now));
    }
    for (entry_process& entry : m_entries)
    {
        if (entry.outdated_since + adoption_time <= m_now)
            entry.generation = m_generation;
    }
    // Sidecars renew grants on their current streams.
    for (auto& [id, renewed] : m_links)
    {
        sidecar_process& sidecar = m_processes[renewed.process];
        const bool is_paused =
            m_current_processes[sidecar.target] != renewed.process;
        if (!sidecar.gate || is_paused)
            continue;
        const auto known_link = sidecar.link_of_entry.find(renewed.entry);
        if (known_link != sidecar.link_of_entry.end() &&
            known_link->second == id)
            renewed.grant = sidecar.gate->issue_grant(id, m_now);
    }
}

template<safeguard_set Safeguards>
void world<Safeguards>::open_link(unsigned entry, unsigned target)
{
    const link_id id = m_next_link++;
    link opened;
    opened.entry = entry;
    opened.process = m_current_processes[target];
    opened.to_sidecar.push_back({hello{entry}, {}});
    m_links.emplace(id, std::move(opened));
    m_current_links[{entry, target}] = id;
}

template<safeguard_set Safeguards>
void world<Safeguards>::lose_link(link_id id)
{
    link& lost = m_links.at(id);
    lost.is_current = false;
    lost.grant.reset();
    for (auto item = m_open_submissions.begin();
         item != m_open_submissions.end();)
    {
        if (item->first.link != id)
        {
            ++item;
            continue;
        }
        owned_run& run = m_calls[item->second].run;
        run.link_lost(run.attempt(), m_now);
        item = m_open_submissions.erase(item);
    }
}

// Messages on the old stream can still arrive, even after those on the new
// stream.
template<safeguard_set Safeguards>
void world<Safeguards>::break_link(unsigned entry, unsigned target)
{
    const auto found = m_current_links.find({entry, target});
    if (found != m_current_links.end())
        lose_link(found->second);
    open_link(entry, target);
}

template<safeguard_set Safeguards>
void world<Safeguards>::start_process(unsigned target)
{
    sidecar_process started;
    started.target = target;
    started.gate = std::make_unique<gate_type>(
        typename gate_type::identity{target_name(target), m_next_incarnation++,
                                     m_now},
        typename gate_type::bounds{grant_lifetime, 8, 1U << 20U});
    started.gate->set_configuration(configuration(m_generation), m_now);
    m_current_processes[target] = m_processes.size();
    m_processes.push_back(std::move(started));
}

template<safeguard_set Safeguards>
void world<Safeguards>::crash(unsigned target)
{
    m_processes[m_current_processes[target]].gate.reset();
    replace(target);
}

template<safeguard_set Safeguards>
void world<Safeguards>::replace(unsigned target)
{
    if (m_processes.size() >= 200)
        return;
    start_process(target);
    for (unsigned entry = 0; entry < entry_count; ++entry)
        break_link(entry, target);
}

template<safeguard_set Safeguards>
void world<Safeguards>::adopt(unsigned process)
{
    const unsigned chosen = process % (target_count + entry_count);
    if (chosen >= target_count)
    {
        m_entries[chosen - target_count].generation = m_generation;
        return;
    }
    const std::size_t index = m_current_processes[chosen];
    apply(index, m_processes[index].gate->set_configuration(
                     configuration(m_generation), m_now));
}

template<safeguard_set Safeguards>
void world<Safeguards>::publish()
{
    ++m_generation;
    for (std::size_t index : m_current_processes)
    {
        sidecar_process& sidecar = m_processes[index];
        if (sidecar.gate->generation() + 1 == m_generation)
            sidecar.outdated_since = m_now;
    }
    for (entry_process& entry : m_entries)
    {
        if (entry.generation + 1 == m_generation)
            entry.outdated_since = m_now;
    }
}

template<safeguard_set Safeguards>
void world<Safeguards>::apply(std::size_t process, const gate_effects& effects)
{
    sidecar_process& sidecar = m_processes[process];
    for (const gate_effect& effect : effects)
    {
        if (const auto* run = std::get_if<start_run>(&effect))
        {
            sidecar.running.emplace(run->run, *run);
            record_run(*run, sidecar);
        }
        if (const auto* result = std::get_if<send_result>(&effect))
            m_links.at(result->ref.link).to_entry.push_back(*result);
    }
}

template<safeguard_set Safeguards>
void world<Safeguards>::record_run(const start_run& run,
                                   const sidecar_process& process)
{
    if (++m_runs[run.key.request_id] > 1)
        report_violation("a non-repeatable request ran twice");
    ++m_runs_by_call[run.body];
    if (process.gate->is_leaving(m_now))
        report_violation("a leaving target started new work");
    check_refusals();
}

template<safeguard_set Safeguards>
void world<Safeguards>::check_refusals()
{
    for (std::size_t index = 0; index < m_calls.size(); ++index)
    {
        if (m_calls[index].was_refused &&
            m_runs_by_call.contains(std::to_string(index)))
            report_violation(
                "a request ran after its caller was told that it did not run");
    }
}

// The third target is only in the manifests of odd generations.
template<safeguard_set Safeguards>
std::vector<std::string>
world<Safeguards>::targets_of(std::uint64_t generation) const
{
    std::vector<std::string> names{target_name(0), target_name(1)};
    if (generation % 2 == 1)
        names.push_back(target_name(2));
    return names;
}

template<safeguard_set Safeguards>
gate_configuration
world<Safeguards>::configuration(std::uint64_t generation) const
{
    gate_configuration value;
    value.generation = generation;
    value.pool_targets = targets_of(generation);
    value.slots = 1;
    value.queue_limits = {0, 0, 1};
    value.start_horizon = start_horizon;
    value.adoption_bound = adoption_time;
    return value;
}

template<safeguard_set Safeguards>
std::string world<Safeguards>::target_name(unsigned target)
{
    return "target-" + std::to_string(target);
}

template<safeguard_set Safeguards>
std::string world<Safeguards>::request_name(unsigned request)
{
    // Owned by targets 1, 0, 2 and 2. Target 2, which enters and leaves the
    // manifest, must own some requests, or ownership would rarely move.
    constexpr std::array<const char*, request_count> names{
        "request-0", "request-3", "request-5", "request-9"};
    return names.at(request);
}

template<safeguard_set Safeguards>
request_key world<Safeguards>::key_of(unsigned request) const
{
    return {"desk", request_name(request), "redeem"};
}

template<safeguard_set Safeguards>
void world<Safeguards>::report_violation(const std::string& text)
{
    if (!m_violation)
        m_violation = text;
}

template<safeguard_set Safeguards>
std::optional<std::string> run_history(const history& tried)
{
    world<Safeguards> simulated(tried.only_request);
    for (const command& next : tried.commands)
    {
        simulated.execute(next);
        if (simulated.violation())
            break;
    }
    return simulated.violation();
}

template std::optional<std::string> run_history<all_safeguards>(const history&);
template std::optional<std::string> run_history<without_grants>(const history&);
template std::optional<std::string> run_history<without_ledger>(const history&);
template std::optional<std::string>
run_history<without_restart_quarantine>(const history&);
template std::optional<std::string>
run_history<without_ownership_check>(const history&);
template std::optional<std::string>
run_history<without_incarnation_check>(const history&);
template std::optional<std::string>
run_history<without_generation_check>(const history&);
template std::optional<std::string>
run_history<without_leaving_refusal>(const history&);
template std::optional<std::string>
run_history<without_renouncing>(const history&);

} // namespace mangofold::promises

#include "world.hpp"

#include "mutations.hpp"

#include <algorithm>
#include <array>

namespace mangofold::promises
{

std::ostream& operator<<(std::ostream& out, const command& value)
{
    constexpr std::array names{
        "send",  "act",   "deliver", "answer", "finish",  "advance", "leap",
        "break", "crash", "replace", "adopt",  "publish", "mark"};
    return out << names.at(static_cast<std::size_t>(value.what)) << '('
               << value.first << ',' << value.second << ')';
}

std::ostream& operator<<(std::ostream& out, const history& value)
{
    out << "request " << value.only_request << ':';
    for (const command& move : value.moves)
        out << ' ' << move;
    return out;
}

template<safeguard_set Safeguards>
world<Safeguards>::world(int only_request)
    : m_only_request(only_request), m_entries(entry_count),
      m_requests(request_count)
{
    m_processes.reserve(256);
    m_current.resize(target_count);
    for (unsigned target = 0; target < target_count; ++target)
        start_process(target);
    // The fleet has been up for long; no start is in its quarantine.
    advance(start_horizon + adoption_time);
    for (unsigned entry = 0; entry < entry_count; ++entry)
        for (unsigned target = 0; target < target_count; ++target)
            open_link(entry, target);
}

template<safeguard_set Safeguards>
void world<Safeguards>::carry_out(const command& move)
{
    using kind = command::kind;
    constexpr duration little = std::chrono::milliseconds(150);
    constexpr duration lot = std::chrono::milliseconds(2100);
    const unsigned target = move.second % target_count;
    switch (move.what)
    {
    case kind::send:
        return send(m_only_request < 0 ? move.first % request_count
                                       : static_cast<unsigned>(m_only_request),
                    move.second % entry_count);
    case kind::act:
        return act(move.first);
    case kind::deliver:
        return deliver(move.first);
    case kind::answer:
        return answer(move.first);
    case kind::finish:
        return finish(move.first);
    case kind::advance:
        return advance(little * (move.first % 8 + 1));
    case kind::leap:
        return advance(lot * (move.first % 8 + 1));
    case kind::break_link:
        return break_link(move.first % entry_count, target);
    case kind::crash:
        return crash(target);
    case kind::replace:
        return replace(target);
    case kind::adopt:
        return adopt(move.first);
    case kind::publish:
        return publish();
    case kind::mark:
    {
        const std::size_t process = m_current[target];
        apply(process, m_processes[process].decisions->set_leaving(
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
    caller_request& asked = m_requests[request];
    // The callers' side of the agreement: no resend after the horizon.
    if (asked.first_sent && m_now > *asked.first_sent + horizon)
        return;
    const std::vector<std::string> owners = owner_order(
        digest_of(key_of(request)), members(m_entries[entry].generation));
    const bool wants_ticket = request % 2 == 1;
    if (!asked.first_sent && wants_ticket)
    {
        for (unsigned target = 0; target < target_count; ++target)
        {
            if (target_name(target) == owners.front())
                asked.presented_ticket =
                    m_processes[m_current[target]].decisions->mint_ticket(
                        m_now);
        }
    }
    if (!asked.first_sent)
        asked.first_sent = m_now;
    std::optional<std::string> ticket_target;
    if (asked.presented_ticket)
        ticket_target = asked.presented_ticket->target;
    m_sendings.push_back(
        {request, entry,
         owned_run(attempt_policy{}, m_now + deadline, owners, ticket_target),
         asked.presented_ticket, false, false, m_now + deadline});
    act(static_cast<unsigned>(m_sendings.size() - 1));
}

template<safeguard_set Safeguards>
void world<Safeguards>::act(unsigned index)
{
    if (m_sendings.empty())
        return;
    const std::size_t chosen = index % m_sendings.size();
    sending& one = m_sendings[chosen];
    if (one.has_ended)
        return;
    const attempt_step step = one.run.next(m_now);
    if (const auto* attempt = std::get_if<send_attempt>(&step))
        return submit(chosen, *attempt);
    const auto* ended = std::get_if<finish_stage>(&step);
    if (ended == nullptr)
        return;
    one.has_ended = true;
    one.was_refused = ended->result.status == stage_status::refused;
    if (ended->result.status == stage_status::done &&
        ended->result.body != request_name(one.request))
        break_promise("a caller got the answer to another request");
    check_refusals();
}

template<safeguard_set Safeguards>
void world<Safeguards>::submit(std::size_t index, const send_attempt& step)
{
    sending& one = m_sendings[index];
    unsigned target = 0;
    while (target < target_count && target_name(target) != step.target)
        ++target;
    const auto known = m_link_to.find({one.entry, target});
    if (known == m_link_to.end() || !m_links.at(known->second).grant)
        return one.run.not_sent(m_now);
    link& through = m_links.at(known->second);
    submission work;
    work.ref = {known->second, m_next_number++};
    work.key = key_of(one.request);
    work.attempt = step.attempt;
    work.is_repeatable = false;
    work.grant = *through.grant;
    work.generation = m_entries[one.entry].generation;
    work.budget = one.latest - m_now;
    work.body = std::to_string(index);
    work.request_digest = digest_of(request_name(one.request));
    work.pinned_incarnation = step.pinned_incarnation != 0
                                  ? step.pinned_incarnation
                                  : through.grant->incarnation;
    if (step.uses_ticket)
        work.presented_ticket = one.presented_ticket;
    work.renounced_by = step.renounced_by;
    m_outstanding[work.ref] = index;
    through.to_sidecar.push_back({std::nullopt, work});
    one.run.sent(through.grant->incarnation);
}

template<safeguard_set Safeguards>
void world<Safeguards>::deliver(unsigned index)
{
    std::vector<link_id> waiting;
    for (const auto& [id, one] : m_links)
        if (!one.to_sidecar.empty())
            waiting.push_back(id);
    if (waiting.empty())
        return;
    const link_id id = waiting[index % waiting.size()];
    link& from = m_links.at(id);
    const wire_message message = from.to_sidecar.front();
    from.to_sidecar.pop_front();
    const std::size_t process = from.process;
    sidecar_process& to = m_processes[process];
    if (!to.decisions)
        return;
    if (!message.opening)
        return take_in(process, message.work);
    const auto older = to.link_of_entry.find(message.opening->entry);
    if (older != to.link_of_entry.end())
        apply(process, to.decisions->close_link(older->second, m_now));
    to.link_of_entry[message.opening->entry] = id;
    from.grant = to.decisions->issue_grant(id, m_now);
}

template<safeguard_set Safeguards>
void world<Safeguards>::take_in(std::size_t process, const submission& work)
{
    gate& decisions = *m_processes[process].decisions;
    const gate_effects effects = decisions.submit(work, m_now);
    for (const gate_effect& effect : effects)
    {
        const auto* run = std::get_if<start_run>(&effect);
        if (run != nullptr && run->body == work.body &&
            work.generation != decisions.generation())
            break_promise("work started under two different manifests");
    }
    apply(process, effects);
}

template<safeguard_set Safeguards>
void world<Safeguards>::answer(unsigned index)
{
    std::vector<link_id> waiting;
    for (const auto& [id, one] : m_links)
        if (!one.to_entry.empty())
            waiting.push_back(id);
    if (waiting.empty())
        return;
    link& from = m_links.at(waiting[index % waiting.size()]);
    const send_result message = from.to_entry.front();
    from.to_entry.pop_front();
    const auto found = m_outstanding.find(message.ref);
    if (!from.is_current || found == m_outstanding.end())
        return;
    const std::size_t chosen = found->second;
    m_outstanding.erase(found);
    m_sendings[chosen].run.ended(message.attempt, message.result, m_now);
    act(static_cast<unsigned>(chosen));
}

template<safeguard_set Safeguards>
void world<Safeguards>::finish(unsigned index)
{
    std::vector<std::pair<std::size_t, run_id>> running;
    for (std::size_t process = 0; process < m_processes.size(); ++process)
        for (const auto& [id, run] : m_processes[process].running)
            running.emplace_back(process, id);
    if (running.empty())
        return;
    const auto [process, id] = running[index % running.size()];
    sidecar_process& at = m_processes[process];
    const start_run run = at.running.at(id);
    at.running.erase(id);
    if (!at.decisions)
        return;
    const stage_result result{
        stage_status::done, reason::none, run.key.request_id, {}, {}, false};
    apply(process, at.decisions->finish(id, result, m_now));
}

template<safeguard_set Safeguards>
void world<Safeguards>::advance(duration by)
{
    m_now += by;
    for (std::size_t index = 0; index < m_processes.size(); ++index)
    {
        sidecar_process& one = m_processes[index];
        const bool is_current = m_current[one.target] == index;
        const bool lags = one.decisions &&
                          one.decisions->generation() < m_generation &&
                          one.lagging_since + adoption_time <= m_now;
        if (is_current && lags)
            apply(index, one.decisions->set_configuration(
                             configuration(m_generation), m_now));
    }
    for (entry_process& one : m_entries)
    {
        if (one.lagging_since + adoption_time <= m_now)
            one.generation = m_generation;
    }
    // Sidecars renew grants on the streams that they know.
    for (auto& [id, one] : m_links)
    {
        sidecar_process& at = m_processes[one.process];
        const bool is_paused = m_current[at.target] != one.process;
        if (!at.decisions || is_paused)
            continue;
        const auto named = at.link_of_entry.find(one.entry);
        if (named != at.link_of_entry.end() && named->second == id)
            one.grant = at.decisions->issue_grant(id, m_now);
    }
}

template<safeguard_set Safeguards>
void world<Safeguards>::open_link(unsigned entry, unsigned target)
{
    const link_id id = m_next_link++;
    link opened;
    opened.entry = entry;
    opened.process = m_current[target];
    opened.to_sidecar.push_back({hello{entry}, {}});
    m_links.emplace(id, std::move(opened));
    m_link_to[{entry, target}] = id;
}

template<safeguard_set Safeguards>
void world<Safeguards>::lose_link(link_id id)
{
    link& lost = m_links.at(id);
    lost.is_current = false;
    lost.grant.reset();
    for (auto one = m_outstanding.begin(); one != m_outstanding.end();)
    {
        if (one->first.link != id)
        {
            ++one;
            continue;
        }
        owned_run& run = m_sendings[one->second].run;
        run.link_lost(run.attempt(), m_now);
        one = m_outstanding.erase(one);
    }
}

// What lies in the old stream can still arrive, also after the new one.
template<safeguard_set Safeguards>
void world<Safeguards>::break_link(unsigned entry, unsigned target)
{
    const auto known = m_link_to.find({entry, target});
    if (known != m_link_to.end())
        lose_link(known->second);
    open_link(entry, target);
}

template<safeguard_set Safeguards>
void world<Safeguards>::start_process(unsigned target)
{
    sidecar_process fresh;
    fresh.target = target;
    fresh.decisions = std::make_unique<gate>(
        typename gate::identity{target_name(target), m_next_incarnation++,
                                m_now},
        typename gate::bounds{grant_time, 8, 1U << 20U});
    fresh.decisions->set_configuration(configuration(m_generation), m_now);
    m_current[target] = m_processes.size();
    m_processes.push_back(std::move(fresh));
}

template<safeguard_set Safeguards>
void world<Safeguards>::crash(unsigned target)
{
    m_processes[m_current[target]].decisions.reset();
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
    const std::size_t index = m_current[chosen];
    apply(index, m_processes[index].decisions->set_configuration(
                     configuration(m_generation), m_now));
}

template<safeguard_set Safeguards>
void world<Safeguards>::publish()
{
    ++m_generation;
    for (std::size_t index : m_current)
    {
        sidecar_process& one = m_processes[index];
        if (one.decisions->generation() + 1 == m_generation)
            one.lagging_since = m_now;
    }
    for (entry_process& one : m_entries)
    {
        if (one.generation + 1 == m_generation)
            one.lagging_since = m_now;
    }
}

template<safeguard_set Safeguards>
void world<Safeguards>::apply(std::size_t process, const gate_effects& effects)
{
    sidecar_process& at = m_processes[process];
    for (const gate_effect& effect : effects)
    {
        if (const auto* run = std::get_if<start_run>(&effect))
        {
            at.running.emplace(run->run, *run);
            note_run(*run, at);
        }
        if (const auto* result = std::get_if<send_result>(&effect))
            m_links.at(result->ref.link).to_entry.push_back(*result);
    }
}

template<safeguard_set Safeguards>
void world<Safeguards>::note_run(const start_run& run,
                                 const sidecar_process& process)
{
    if (++m_runs[run.key.request_id] > 1)
        break_promise("a request that may not be repeated ran twice");
    ++m_run_by[run.body];
    if (process.decisions->is_leaving(m_now))
        break_promise("a leaving target got new work");
    check_refusals();
}

template<safeguard_set Safeguards>
void world<Safeguards>::check_refusals()
{
    for (std::size_t index = 0; index < m_sendings.size(); ++index)
    {
        if (m_sendings[index].was_refused &&
            m_run_by.contains(std::to_string(index)))
            break_promise("a request ran that was called not run");
    }
}

// The third target is in the manifest of every other generation only.
template<safeguard_set Safeguards>
std::vector<std::string>
world<Safeguards>::members(std::uint64_t generation) const
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
    value.pool_targets = members(generation);
    value.slots = 1;
    value.shares = {0, 0, 1};
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
    // Owned by target 1, 0, 2 and 2: the one that enters and leaves the
    // manifest owns some, or ownership would hardly ever move.
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
void world<Safeguards>::break_promise(const std::string& text)
{
    if (!m_broken)
        m_broken = text;
}

template<safeguard_set Safeguards>
std::optional<std::string> run_moves(const history& tried)
{
    world<Safeguards> played(tried.only_request);
    for (const command& move : tried.moves)
    {
        played.carry_out(move);
        if (played.broken())
            break;
    }
    return played.broken();
}

template std::optional<std::string> run_moves<all_safeguards>(const history&);
template std::optional<std::string> run_moves<without_grants>(const history&);
template std::optional<std::string> run_moves<without_ledger>(const history&);
template std::optional<std::string>
run_moves<without_restart_quarantine>(const history&);
template std::optional<std::string>
run_moves<without_ownership_check>(const history&);
template std::optional<std::string>
run_moves<without_incarnation_check>(const history&);
template std::optional<std::string>
run_moves<without_generation_check>(const history&);
template std::optional<std::string>
run_moves<without_leaving_refusal>(const history&);
template std::optional<std::string>
run_moves<without_renouncing>(const history&);

} // namespace mangofold::promises

#pragma once

#include "balancer.hpp"
#include "modelled_entry.hpp"
#include "policies.hpp"
#include "traffic.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace mangofold::test
{

/// Entries in three zones behind a balancer that are told to stop one after
/// the other, and callers that return once after a refusal.
template<admission_policy Admission, return_policy Return>
class stops_world
{
public:
    stops_world(const roll& plan, const traffic& load, Admission admission,
                Return returns)
        : taken_late(plan.entries, 0), m_plan(plan), m_load(load),
          m_admission(admission), m_returns(returns),
          m_connections(load.connections), m_balancer(plan.entries)
    {
        for (int number = 0; number < plan.entries; ++number)
            m_entries.emplace_back(number);
        for (int number = 0; number < plan.entries; ++number)
            start(number);
        if (plan.has_checks)
            for (int number = 0; number < plan.entries; ++number)
                at(first_time + m_load.check_phase(number),
                   [this, number] { check(number); });
        for (int number = 0; number < plan.stopped; ++number)
            at(first_stop + number * plan.gap,
               [this, number] { stop(number); });
        for (std::size_t number = 0; number < load.requests.size(); ++number)
            at(load.requests[number].at,
               [this, number] { arrive(number, std::nullopt); });
    }

    void run()
    {
        while (!m_events.empty())
        {
            const auto next = m_events.begin();
            m_now = next->first;
            const std::function<void()> action = std::move(next->second);
            m_events.erase(next);
            action();
        }
    }

    /// By the second of the first try, counted from the first stop.
    std::map<int, outcome_counts> outcomes;
    int cut_although_late = 0;   ///< Taken later than 3 s after the signal.
    std::vector<int> taken_late; ///< By entry, later than 3 s after its signal.
    /// By stopping entries to which the balancer still sends, except those that
    /// half of the entries would have taken.
    int refused_before_noticed = 0;
    int refused_while_running = 0;
    int late_exits = 0; ///< Processes that the grace ended.
    std::vector<duration> stop_times;

private:
    void at(instant time, std::function<void()> action)
    {
        m_events.emplace(time, std::move(action));
    }

    entry_roster::entry_status status_of(const entry& each) const
    {
        const bool is_stopping = each.draining.has_value();
        return {1,    is_stopping,
                true, m_entries.size(),
                true, is_stopping ? m_now - *each.stopped_at : 0s};
    }

    void start(int number)
    {
        entry& self = m_entries[number];
        self.is_up = true;
        self.stopped_at.reset();
        self.draining.reset();
        const std::size_t routes = m_load.routes.size();
        self.typical.assign(routes, moving_mean(duration::zero()));
        self.longest.assign(routes, {});
        self.roster.emplace(self.name, 1.0);
        for (entry& other : m_entries)
            if (&other != &self && other.is_up && other.roster)
            {
                self.roster->note_answer(other.name, status_of(other), m_now);
                other.roster->note_answer(self.name, status_of(self), m_now);
            }
    }

    void stop(int number)
    {
        entry& self = m_entries[number];
        self.stopped_at = m_now;
        self.draining.emplace(m_now, m_plan.grace, 2);
        self.roster->set_stopping(m_now);
        for (entry& other : m_entries)
            if (&other != &self && other.is_up)
                other.roster->note_stopping(self.name, m_now);
        at(self.draining->last_answers_at(),
           [this, number] { reject_unsent(number); });
        go_on_stopping(number);
    }

    void go_on_stopping(int number)
    {
        const entry& self = m_entries[number];
        const bool is_idle = m_plan.exits_when_idle && self.running.empty();
        if (self.draining->may_exit(m_now, is_idle))
            return exit(number);
        at(m_now + 50ms, [this, number] { go_on_stopping(number); });
    }

    void exit(int number)
    {
        entry& self = m_entries[number];
        if (m_now + exit_time > *self.stopped_at + m_plan.grace)
            ++late_exits;
        const auto cut = std::exchange(self.running, {});
        for (const auto& [id, request] : cut)
        {
            if (request.taken_at > *self.stopped_at + 3s)
                ++cut_although_late;
            finish(request.number, outcome::cut);
        }
        self.is_up = false;
        self.draining.reset();
        ++self.incarnation;
        for (entry& other : m_entries)
            if (&other != &self && other.is_up)
                other.roster->note_lost(self.name);
        at(m_now + m_plan.restart,
           [this, number]
           {
               stop_times.push_back(m_now - *m_entries[number].stopped_at);
               start(number);
           });
    }

    void check(int number)
    {
        entry& self = m_entries[number];
        if (self.draining)
            self.draining->note_unready_reply(m_now);
        const bool is_ready = self.is_up && !self.draining;
        m_balancer.note_check(number, is_ready);
        if (m_now < m_load.end + 20s)
            at(m_now + 1s, [this, number] { check(number); });
    }

    /// Whether the caller's open connection still leads to its entry.
    bool is_open(const connection& line) const
    {
        if (line.entry < 0 || line.is_busy)
            return false;
        const entry& self = m_entries[line.entry];
        const bool is_closing =
            self.draining && self.draining->is_out_of_rotation(m_now);
        return self.is_up && self.incarnation == line.incarnation &&
               !is_closing;
    }

    void arrive(std::size_t number, std::optional<int> refused_by)
    {
        const request& sent = m_load.requests[number];
        const double choice = refused_by ? sent.second_choice : sent.choice;
        connection* line = sent.connection && !refused_by
                               ? &m_connections[*sent.connection]
                               : nullptr;
        if (line != nullptr && line->is_busy)
            line = nullptr;
        const int chosen =
            line != nullptr && is_open(*line)
                ? line->entry
                : m_balancer.choose(sent.zone, choice, refused_by);
        entry& self = m_entries[chosen];
        if (!self.is_up)
            return refuse(number, chosen, refused_by.has_value());
        if (line != nullptr)
            *line = {chosen, self.incarnation, false};
        const route& path = m_load.routes[sent.route];
        const duration bound = path.timeout - (m_now - sent.at);
        if (self.draining &&
            !is_accepted(self, sent.route, bound, refused_by.has_value()))
        {
            if (line != nullptr)
                line->entry = -1;
            return refuse(number, chosen, refused_by.has_value());
        }
        take(number, chosen, refused_by.has_value(), bound, line);
    }

    bool is_accepted(const entry& self, std::size_t route, duration bound,
                     bool is_returning)
    {
        const duration longest = self.longest[route].value();
        const bool is_known = longest > 0s;
        return m_admission.accepts(
            {*self.draining, m_now,
             is_known ? self.typical[route].mean() : bound,
             is_known ? longest + longest / 2 : bound, bound,
             self.roster->others_while_stopping(m_now), is_returning});
    }

    void take(std::size_t number, int chosen, bool is_return, duration bound,
              connection* line)
    {
        entry& self = m_entries[chosen];
        const request& sent = m_load.requests[number];
        const instant sent_at = m_now + sent.wait;
        const instant ended_at = m_load.ended_at(sent_at, sent.length);
        const instant first_at = m_load.ended_at(sent_at, first_event_time);
        const bool is_late = first_at > sent.at + first_event_aim;
        const bool is_overrun = ended_at > m_now + bound;
        const instant answered_at =
            std::min(ended_at, m_now + bound) + sent.relay_lag;
        if (self.draining && m_now > *self.stopped_at + 3s)
            ++taken_late[chosen];
        if (line != nullptr)
            line->is_busy = true;
        const std::uint64_t id = m_next_id++;
        self.running[id] = {number, is_return, m_now, sent_at};
        at(answered_at,
           [=, this]
           {
               entry& taker = m_entries[chosen];
               if (line != nullptr)
                   line->is_busy = false;
               if (taker.running.erase(id) == 0)
                   return;
               if (line != nullptr && taker.draining)
                   line->entry = -1;
               const std::size_t route = m_load.requests[number].route;
               taker.typical[route].add(answered_at - sent_at + sent.wait);
               taker.longest[route].add(answered_at - sent_at);
               finish(number,
                      is_late || is_overrun ? outcome::late : outcome::in_time);
           });
    }

    void reject_unsent(int number)
    {
        entry& self = m_entries[number];
        if (!self.draining)
            return;
        for (auto each = self.running.begin(); each != self.running.end();)
        {
            const running_request request = each->second;
            each = request.sent_at > m_now ? self.running.erase(each)
                                           : std::next(each);
            if (request.sent_at > m_now)
                refuse(request.number, number, request.is_return);
        }
    }

    void refuse(std::size_t number, int refused_by, bool is_return)
    {
        const request& sent = m_load.requests[number];
        const std::optional<instant> stopped = m_entries[refused_by].stopped_at;
        if (m_balancer.is_in_rotation(refused_by) && stopped &&
            m_now < *stopped + 2500ms &&
            !is_left_to_half(number, refused_by, is_return))
            ++refused_before_noticed;
        refused_while_running += m_entries[refused_by].is_up ? 1 : 0;
        if (is_return)
            return finish(number, outcome::refused);
        const duration left =
            m_load.routes[sent.route].timeout - (m_now - sent.at);
        const duration longest = left * 3 / 10;
        const duration wanted = wanted_delay(m_entries[refused_by], longest);
        const duration delay =
            std::max<duration>(50ms, std::min(longest, wanted));
        at(m_now + delay,
           [this, number, refused_by] { arrive(number, refused_by); });
    }

    duration wanted_delay(const entry& self, duration longest) const
    {
        if (!self.draining ||
            self.roster->others_while_stopping(m_now) != other_entries::few)
            return 50ms;
        refusal_at_stopping refused{m_now,
                                    self.draining->request_deadline(),
                                    longest,
                                    m_entries.size(),
                                    {}};
        for (const entry& each : m_entries)
            if (each.stopped_at)
                refused.stopping_since.push_back(*each.stopped_at);
        std::sort(refused.stopping_since.begin(), refused.stopping_since.end());
        return m_returns.delay(refused);
    }

    /// Whether half of the entries, but not the one that \a refused_by numbers,
    /// would take the request \a number, which is no return.
    bool is_left_to_half(std::size_t number, int refused_by, bool is_return)
    {
        const request& sent = m_load.requests[number];
        const duration bound =
            m_load.routes[sent.route].timeout - (m_now - sent.at);
        int taking = 0;
        for (const entry& each : m_entries)
            if (each.is_up && each.name != m_entries[refused_by].name &&
                (!each.draining || is_accepted(each, sent.route, bound, false)))
                ++taking;
        return !is_return && 2 * taking >= static_cast<int>(m_entries.size());
    }

    void finish(std::size_t number, outcome result)
    {
        const duration since = m_load.requests[number].at - first_stop;
        if (since >= 0s)
            ++outcomes[static_cast<int>(since / 1s)].at(result);
    }

    roll m_plan;
    const traffic& m_load;
    Admission m_admission;
    Return m_returns;
    instant m_now = first_time;
    std::multimap<instant, std::function<void()>> m_events;
    std::vector<entry> m_entries;
    std::vector<connection> m_connections;
    balancer m_balancer;
    std::uint64_t m_next_id = 0;
};

} // namespace mangofold::test

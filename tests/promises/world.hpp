#pragma once

#include "decision/concurrency_limit.hpp"
#include "decision/owned_run.hpp"
#include "decision/owner_order.hpp"
#include "decision/target_gate.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace mangofold::promises
{

using namespace decision;

/// One action of the callers, the network or the operators, or one fault.
struct command
{
    enum class kind
    {
        send,               ///< A caller sends a request through an entry.
        resume,             ///< An entry continues a call.
        deliver_to_sidecar, ///< A message reaches a sidecar.
        deliver_to_entry,   ///< A message reaches an entry.
        finish_run,         ///< A target ends a run.
        advance,            ///< A short time passes.
        advance_far,        ///< A long time passes.
        break_link,         ///< An entry replaces a dead stream.
        crash,              ///< A sidecar dies and is restarted.
        replace,            ///< A sidecar is paused and replaced.
        adopt,              ///< A process adopts the newest manifest.
        publish,            ///< A target enters or leaves the manifest.
        set_target_leaving, ///< The platform lists a target as leaving.
        count
    };

    kind type = kind::resume;
    /// Arguments select by their value modulo the number of choices.
    unsigned first_argument = 0;
    unsigned second_argument = 0;
};

std::ostream& operator<<(std::ostream& out, const command& value);

/// The commands that one simulation executes, in order.
struct history
{
    int only_request = -1; ///< Index of the only request sent; -1 for all.
    std::vector<command> commands;
};

std::ostream& operator<<(std::ostream& out, const history& value);

constexpr duration resend_horizon = std::chrono::seconds(6);
constexpr duration call_timeout = std::chrono::seconds(2);
constexpr duration grant_lifetime = std::chrono::seconds(2);
constexpr duration adoption_time = std::chrono::seconds(4);
constexpr duration start_horizon =
    resend_horizon + call_timeout + grant_lifetime;

/// Simulates callers, two entries, three targets with their sidecars, and the
/// network between them, with the production code of the gate and the entry's
/// attempts. All requests are non-repeatable. Time passes only by commands.
template<safeguard_set Safeguards>
class world
{
public:
    explicit world(int only_request);

    /// Executes \a next, or does nothing if it is not possible now.
    void execute(const command& next);

    /// Returns the violated guarantee, or nothing.
    const std::optional<std::string>& violation() const { return m_violation; }

    /// Returns how many requests ran.
    std::size_t runs() const { return m_runs.size(); }

private:
    using gate_type = target_gate<fixed_limit, Safeguards>;

    static constexpr unsigned target_count = 3;
    static constexpr unsigned entry_count = 2;
    static constexpr unsigned request_count = 4;

    struct hello
    {
        unsigned entry;
    };

    struct wire_message
    {
        std::optional<hello> opening;
        submission work;
    };

    struct sidecar_process
    {
        unsigned target = 0;
        std::unique_ptr<gate_type> gate;
        std::map<run_id, start_run> running;
        std::map<unsigned, link_id> link_of_entry;
        instant outdated_since{};
    };

    struct link
    {
        unsigned entry = 0;
        std::size_t process = 0; ///< Index into m_processes.
        bool is_current = true;
        std::deque<wire_message> to_sidecar;
        std::deque<send_result> to_entry;
        std::optional<grant_ref> grant;
    };

    /// One sending of a request by its caller to an entry.
    struct call
    {
        unsigned request = 0;
        unsigned entry = 0;
        owned_run run;
        std::optional<ticket> request_ticket;
        bool has_ended = false;
        bool was_refused = false;
        instant deadline{};
    };

    struct entry_process
    {
        std::uint64_t generation = 1;
        instant outdated_since{};
    };

    struct caller_request
    {
        std::optional<instant> first_sent;
        std::optional<ticket> request_ticket;
    };

    void send(unsigned request, unsigned entry);
    void resume(unsigned index);
    void deliver_to_sidecar(unsigned index);
    void submit_to_gate(std::size_t process, const submission& work);
    void deliver_to_entry(unsigned index);
    void finish_run(unsigned index);
    void advance(duration by);
    void break_link(unsigned entry, unsigned target);
    void start_process(unsigned target);
    void crash(unsigned target);
    void replace(unsigned target);
    void adopt(unsigned process);
    void publish();

    void open_link(unsigned entry, unsigned target);
    void lose_link(link_id id);
    void submit(std::size_t index, const send_attempt& step);
    void apply(std::size_t process, const gate_effects& effects);
    void record_run(const start_run& run, const sidecar_process& process);
    void check_refusals();
    std::vector<std::string> targets_of(std::uint64_t generation) const;
    gate_configuration configuration(std::uint64_t generation) const;
    static std::string target_name(unsigned target);
    static std::string request_name(unsigned request);
    request_key key_of(unsigned request) const;
    void report_violation(const std::string& text);

    int m_only_request;
    instant m_now{std::chrono::hours(1)};
    std::uint64_t m_generation = 1;
    std::uint64_t m_next_incarnation = 100;
    link_id m_next_link = 1;
    std::vector<sidecar_process> m_processes;
    std::vector<std::size_t> m_current_processes; ///< By target.
    std::vector<entry_process> m_entries;
    std::map<link_id, link> m_links;
    std::map<std::pair<unsigned, unsigned>, link_id> m_current_links;
    std::vector<caller_request> m_requests;
    std::vector<call> m_calls;
    std::map<submission_ref, std::size_t> m_open_submissions;
    std::uint64_t m_next_number = 1;
    std::map<std::string, unsigned> m_runs;         ///< Runs by request.
    std::map<std::string, unsigned> m_runs_by_call; ///< Runs by call.
    std::optional<std::string> m_violation;
};

/// Executes \a tried with \a Safeguards. Returns the violated guarantee, or
/// nothing.
template<safeguard_set Safeguards>
std::optional<std::string> run_history(const history& tried);

} // namespace mangofold::promises

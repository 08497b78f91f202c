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

/// One move of the callers, the network, the operators or a fault.
struct command
{
    enum class kind
    {
        send,       ///< A caller sends a request through an entry.
        act,        ///< An entry goes on with a sending.
        deliver,    ///< A message reaches a sidecar.
        answer,     ///< A message reaches an entry.
        finish,     ///< A target ends a run.
        advance,    ///< Time passes, a little.
        leap,       ///< Time passes, a lot.
        break_link, ///< An entry finds a stream dead and opens a new one.
        crash,      ///< A sidecar dies and is started again.
        replace,    ///< A sidecar is paused and a replacement started.
        adopt,      ///< A process takes the newest manifest over.
        publish,    ///< A target enters or leaves the manifest.
        mark,       ///< The platform calls a target leaving.
        count
    };

    kind what = kind::act;
    unsigned first = 0;
    unsigned second = 0;
};

std::ostream& operator<<(std::ostream& out, const command& value);

/// What happens in one world.
struct history
{
    int only_request = -1; ///< The only one that is sent; -1 for any.
    std::vector<command> moves;
};

std::ostream& operator<<(std::ostream& out, const history& value);

constexpr duration horizon = std::chrono::seconds(6);
constexpr duration deadline = std::chrono::seconds(2);
constexpr duration grant_time = std::chrono::seconds(2);
constexpr duration adoption_time = std::chrono::seconds(4);
constexpr duration start_horizon = horizon + deadline + grant_time;

/// Callers, two entries, three targets with their sidecars, and a network
/// between them, around the real decisions. Only requests that may not be
/// repeated. Time stands still but for the commands that advance it.
template<safeguard_set Safeguards>
class world
{
public:
    explicit world(int only_request);

    /// Carries \a move out; one that is not possible now does nothing.
    void carry_out(const command& move);

    /// Returns the broken promise, or nothing.
    const std::optional<std::string>& broken() const { return m_broken; }

    /// Returns how many requests ran, for a check that any did.
    std::size_t runs() const { return m_runs.size(); }

private:
    using gate = target_gate<fixed_limit, Safeguards>;

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
        std::unique_ptr<gate> decisions;
        std::map<run_id, start_run> running;
        std::map<unsigned, link_id> link_of_entry;
        instant lagging_since{};
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

    struct sending
    {
        unsigned request = 0;
        unsigned entry = 0;
        owned_run run;
        std::optional<ticket> presented_ticket;
        bool has_ended = false;
        bool was_refused = false;
        instant latest{};
    };

    struct entry_process
    {
        std::uint64_t generation = 1;
        instant lagging_since{};
    };

    struct caller_request
    {
        std::optional<instant> first_sent;
        std::optional<ticket> presented_ticket;
    };

    void send(unsigned request, unsigned entry);
    void act(unsigned index);
    void deliver(unsigned index);
    void take_in(std::size_t process, const submission& work);
    void answer(unsigned index);
    void finish(unsigned index);
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
    void note_run(const start_run& run, const sidecar_process& process);
    void check_refusals();
    std::vector<std::string> members(std::uint64_t generation) const;
    gate_configuration configuration(std::uint64_t generation) const;
    static std::string target_name(unsigned target);
    static std::string request_name(unsigned request);
    request_key key_of(unsigned request) const;
    void break_promise(const std::string& text);

    int m_only_request;
    instant m_now{std::chrono::hours(1)};
    std::uint64_t m_generation = 1;
    std::uint64_t m_next_incarnation = 100;
    link_id m_next_link = 1;
    std::vector<sidecar_process> m_processes;
    std::vector<std::size_t> m_current; ///< Process of each target.
    std::vector<entry_process> m_entries;
    std::map<link_id, link> m_links;
    std::map<std::pair<unsigned, unsigned>, link_id> m_link_to;
    std::vector<caller_request> m_requests;
    std::vector<sending> m_sendings;
    std::map<submission_ref, std::size_t> m_outstanding;
    std::uint64_t m_next_number = 1;
    std::map<std::string, unsigned> m_runs;   ///< By request.
    std::map<std::string, unsigned> m_run_by; ///< By sending.
    std::optional<std::string> m_broken;
};

/// Runs \a tried in a world with \a Safeguards. Returns the broken promise,
/// or nothing.
template<safeguard_set Safeguards>
std::optional<std::string> run_moves(const history& tried);

} // namespace mangofold::promises

#pragma once

#include "catalog/catalog_index.hpp"
#include "decision/digest.hpp"
#include "decision/sending_record.hpp"
#include "serving/caller_session.hpp"
#include "serving/entry_context.hpp"
#include "serving/stage_runner.hpp"
#include "serving/target_call.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace mangofold::serving
{

/// What is kept back of the caller's time for the way of the answer.
constexpr duration answer_way = std::chrono::milliseconds(20);

/// Why a request ends with an answer of this process, not of a target.
enum class refusal : std::uint8_t
{
    none,
    malformed,
    no_catalog,
    no_route,
    unknown_key,
    no_target,
    targets_full,
    too_late,
    stages_late,
    stages_failed,
    retries_spent,
    target_lost,
    target_silent,
    answer_spoiled,
    stopping,
    quarantined,
    evacuated,
    targets_cold
};

std::string_view to_string(refusal value);

/// One request of a caller, from its head to its final answer.
class exchange
{
public:
    exchange(entry_context& context, std::shared_ptr<caller_session> session,
             http_request request);

    ~exchange();
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    awaitable<void> run();

private:
    enum class attempt_end : std::uint8_t
    {
        answered,  ///< The caller has its answer, whole or broken off.
        try_again, ///< Another target may serve it.
        restart,   ///< The stages' results are gone.
        given_up   ///< m_refusal says why.
    };

    bool has_catalog() const;
    awaitable<void> wait_for_catalog();
    awaitable<void> wait_for_target();
    awaitable<void> wait_at_start(std::function<bool()> is_there);
    awaitable<void> wait_a_moment();
    bool admit();
    bool is_left_to_others();
    decision::drain::request_duration expected_time() const;
    duration longest_answer() const;
    void end_soon();
    std::uint32_t tokens_out() const;
    instant last_send() const;
    const std::string& choose_service();
    awaitable<void> serve();
    duration yields() const;
    instant stages_end() const;
    std::string likely_zone();
    awaitable<bool> make_stages();
    void drop_stages();
    awaitable<attempt_end> attempt();
    awaitable<attempt_end> pass_on(target_call& call);
    awaitable<attempt_end> pass_whole(target_call& call);
    awaitable<attempt_end> pass_events(target_call& call);
    awaitable<bool> send_events(target_call& call, std::string events);
    attempt_end failed(target_call::state how,
                       const decision::target_start& target);
    awaitable<bool> is_quarantined();
    void judge_content();
    awaitable<const decision::listed_target*> wait_for_choice();
    attempt_end not_run(const target_call& call);
    const decision::listed_target* choose_target();
    const decision::listed_target*
    choose_among(const std::set<decision::target_start>& tried);
    std::vector<const decision::listed_target*> open_targets();
    bool is_wholly_evacuated(bool needs_stages) const;
    bool may_wait_for_cold() const;
    forwarding_metadata marks_for(const decision::listed_target& target);
    duration patience() const;
    void note_begun(const decision::target_start& target);
    void note_ended(const decision::target_start& target);
    awaitable<void> refuse();
    unsigned refusal_status() const;
    std::string back_after() const;
    void log_end(unsigned status) const;
    void log_answer() const;
    void log_lost(const decision::target_start& target) const;
    const decision::digest& content() const;
    duration left() const;
    bool is_over() const { return left() <= duration::zero(); }
    bool is_engine() const;
    decision::generation_request generation() const;

    entry_context& m_context;
    std::shared_ptr<caller_session> m_session;
    http_request m_request;
    request_metadata m_facts;
    mutable std::optional<decision::digest> m_content;
    catalog::catalog_ptr m_catalog;
    const catalog::route* m_route = nullptr;
    const catalog::account* m_account = nullptr;
    std::string m_service;
    instant m_began;
    instant m_deadline{};
    instant m_ends_by = instant::max(); ///< The process ends soon after.
    bool m_is_ending = false; ///< The process ends before it was sent.
    refusal m_refusal = refusal::none;
    std::optional<decision::sending_record> m_sends;
    std::set<decision::target_start> m_tried;
    decision::quarantine::verdict m_verdict;
    bool m_is_trial = false; ///< Of a request that is kept from targets.
    instant m_alone_until{};
    std::optional<instant> m_cold_until; ///< When a cold target is next open.
    std::unique_ptr<stage_runner> m_stages;
    std::shared_ptr<target_call> m_call;
    std::optional<std::uint64_t> m_last_event;
    bool m_is_head_sent = false;
    std::string m_stages_done;    ///< After how many milliseconds each.
    bool m_is_begun_late = false; ///< Its stages would be late as they began.
    bool m_is_first_read = false; ///< The engine has read the prompt.
    bool m_is_noted = false;      ///< How the newest send ended was noted.
    double m_tokens_ahead = 0;
    decision::target_start m_last_target;
    instant m_sent_at{};     ///< The newest send.
    instant m_stages_at{};   ///< The stages were made.
    instant m_first_at{};    ///< Of an answer's bytes from a target.
    unsigned m_answered = 0; ///< The status that a target gave.
};

} // namespace mangofold::serving

#pragma once

#include "decision/engines/scheduler_contact.hpp"
#include "serving/auto_reset_event.hpp"
#include "serving/entry_context.hpp"
#include "serving/placement_messages.hpp"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace mangofold::serving
{

/// How an entry reaches the entries that schedule engines.
class placement_channel
{
public:
    virtual ~placement_channel() = default;

    /// Returns the address of the other entry that schedules \a group of
    /// engines; empty if this entry schedules it, or if no entry is known to.
    virtual std::string scheduler_of(const std::string& group) = 0;

    /// Sends \a frame to the entry at \a address if it is connected.
    virtual void send(const std::string& address, const peer::Frame& frame) = 0;
};

/// Has one elected entry choose the engines for the generations of all entries:
/// asks that entry, and answers the others where it is this one.
class engine_scheduler
{
public:
    engine_scheduler(entry_context& context, placement_channel& channel);

    /// Returns the address of the other entry that schedules \a work; empty if
    /// this entry chooses by its own records.
    std::string scheduler_for(const decision::generation_request& work);

    /// What the scheduler answered.
    struct answer
    {
        bool is_timeout = false;
        std::optional<decision::target_incarnation> target;

        friend bool operator==(const answer&, const answer&) = default;
    };

    /// Asks \a scheduler for an engine. Waits for the answer for at most
    /// 40 ms, and not at all if the scheduler has been silent lately.
    awaitable<answer> ask(const std::string& scheduler,
                          const placement_request& request);

    /// Tells \a scheduler that this entry has chosen an engine itself.
    void report_choice(const std::string& scheduler,
                       const placement_request& request);

    void report_event(const std::string& scheduler, std::uint64_t number,
                      decision::generation_event event, duration after);

    /// Handles an answer of the entry at \a address.
    void handle_placement(const std::string& address,
                          const peer::Placement& message);

    /// Handles a question, or the report of a choice, received on the
    /// connection \a sender. Returns the answer to a question.
    std::optional<peer::Frame>
    handle_request(const std::string& sender,
                   const peer::PlacementRequest& message);
    void handle_update(const std::string& sender,
                       const peer::GenerationUpdate& message);
    void note_sender_lost(const std::string& sender);

    /// Forgets what is too old and updates the metrics; called periodically.
    void maintain();

private:
    struct question
    {
        question(asio::io_context& loop, std::string asked)
            : scheduler(std::move(asked)), answered(loop)
        {
        }
        std::string scheduler;
        auto_reset_event answered;
        std::optional<peer::Placement> placement;
    };

    void note_scheduler(const std::string& group, const std::string& scheduler);
    void note_silence(const std::string& scheduler);
    const decision::listed_target* choose(const placement_request& request);

    entry_context& m_context;
    placement_channel& m_channel;
    decision::scheduler_contact m_contact;
    std::map<std::uint64_t, std::shared_ptr<question>> m_questions;
    std::map<std::string, std::string> m_schedulers; ///< Last seen, by group.
};

} // namespace mangofold::serving

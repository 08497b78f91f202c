#pragma once

#include "decision/stage_job.hpp"
#include "serving/auto_reset_event.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// How a job ended, with its results in the order of the pieces.
struct piece_outcome
{
    decision::job_status end = decision::job_status::failed;
    std::vector<std::string> handles;
    bool was_late = false; ///< When it was begun.

    friend bool operator==(const piece_outcome&,
                           const piece_outcome&) = default;
};

/// Where a request waits for one of its jobs.
class piece_wait
{
public:
    explicit piece_wait(std::shared_ptr<auto_reset_event> changed)
        : m_changed(std::move(changed))
    {
    }

    void set_outcome(piece_outcome value)
    {
        if (m_is_dropped || m_outcome)
            return;
        m_outcome = std::move(value);
        m_changed->set();
    }

    const std::optional<piece_outcome>& outcome() const { return m_outcome; }

    /// Notes that the targets have fetched the inputs of all its pieces.
    void set_fetched()
    {
        m_is_fetched = true;
        m_changed->set();
    }
    bool is_fetched() const { return m_is_fetched; }

    /// Notes that nobody waits any more.
    void drop() { m_is_dropped = true; }
    bool is_dropped() const { return m_is_dropped; }

private:
    std::shared_ptr<auto_reset_event> m_changed;
    std::optional<piece_outcome> m_outcome;
    bool m_is_fetched = false;
    bool m_is_dropped = false;
};

using piece_wait_ptr = std::shared_ptr<piece_wait>;

/// Makes the pieces of stages, here or at another entry.
class piece_maker
{
public:
    virtual ~piece_maker() = default;

    /// Has \a job made by targets of \a service. The outcome goes to \a wait;
    /// it always comes, at the latest soon after the job's time is over.
    virtual void make(const std::string& service, decision::stage_job job,
                      piece_wait_ptr wait) = 0;

    /// Lets go of results of \a service.
    virtual void release(const std::string& service,
                         std::vector<std::string> handles) = 0;
};

} // namespace mangofold::serving

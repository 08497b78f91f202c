#pragma once

#include "decision/stage_job.hpp"
#include "serving/signal_point.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// How a job ended, with the handles of its results in the order of the pieces.
struct piece_outcome
{
    decision::job_status end = decision::job_status::failed;
    std::vector<std::string> handles;
    /// Whether the request was already late when the job was started.
    bool was_late = false;

    friend bool operator==(const piece_outcome&,
                           const piece_outcome&) = default;
};

/// One job that a request has submitted and waits for.
class piece_wait
{
public:
    explicit piece_wait(std::shared_ptr<signal_point> changed)
        : m_changed(std::move(changed))
    {
    }

    void set_outcome(piece_outcome value)
    {
        if (m_is_dropped || m_outcome)
            return;
        m_outcome = std::move(value);
        m_changed->raise();
    }

    const std::optional<piece_outcome>& outcome() const { return m_outcome; }

    /// Notes that the targets have fetched the inputs of all pieces of the job.
    void set_fetched()
    {
        m_is_fetched = true;
        m_changed->raise();
    }
    bool is_fetched() const { return m_is_fetched; }

    /// Notes that the request no longer waits for the job.
    void drop() { m_is_dropped = true; }
    bool is_dropped() const { return m_is_dropped; }

private:
    std::shared_ptr<signal_point> m_changed;
    std::optional<piece_outcome> m_outcome;
    bool m_is_fetched = false;
    bool m_is_dropped = false;
};

using piece_wait_ptr = std::shared_ptr<piece_wait>;

/// Executes stage jobs, at this entry or at another one.
class piece_maker
{
public:
    virtual ~piece_maker() = default;

    /// Has targets of \a service execute \a job. \a pending always receives an
    /// outcome, at the latest soon after the job has expired.
    virtual void make(const std::string& service, decision::stage_job job,
                      piece_wait_ptr pending) = 0;

    /// Releases results of \a service, which their targets then delete.
    virtual void release(const std::string& service,
                         std::vector<std::string> handles) = 0;
};

} // namespace mangofold::serving

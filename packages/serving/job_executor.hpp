#pragma once

#include "decision/stages/stage_job.hpp"
#include "decision/time.hpp"
#include "serving/auto_reset_event.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// How a job ended, with the handles of its results in the order of the pieces.
struct job_outcome
{
    decision::job_status status = decision::job_status::failed;
    std::vector<std::string> handles;
    /// Whether the request was already late when the job was started.
    bool was_late = false;
    /// Of a rejected job: when there will be capacity for it.
    duration retry_in{};

    friend bool operator==(const job_outcome&, const job_outcome&) = default;
};

/// One job that a request has submitted and waits for.
class pending_job
{
public:
    explicit pending_job(std::shared_ptr<auto_reset_event> changed)
        : m_changed(std::move(changed))
    {
    }

    void set_outcome(job_outcome value)
    {
        if (m_is_cancelled || m_outcome)
            return;
        m_outcome = std::move(value);
        m_changed->set();
    }

    const std::optional<job_outcome>& outcome() const { return m_outcome; }

    /// Notes that the targets have fetched the inputs of all pieces of the job.
    void set_inputs_fetched()
    {
        m_has_fetched_inputs = true;
        m_changed->set();
    }
    bool has_fetched_inputs() const { return m_has_fetched_inputs; }

    /// Notes that the request no longer waits for the job.
    void cancel()
    {
        m_is_cancelled = true;
        if (m_on_cancel && !m_outcome)
            m_on_cancel();
    }
    bool is_cancelled() const { return m_is_cancelled; }

    /// Sets what is called when the job is cancelled before its outcome.
    void set_on_cancel(std::function<void()> on_cancel)
    {
        m_on_cancel = std::move(on_cancel);
    }

private:
    std::shared_ptr<auto_reset_event> m_changed;
    std::optional<job_outcome> m_outcome;
    bool m_has_fetched_inputs = false;
    bool m_is_cancelled = false;
    std::function<void()> m_on_cancel;
};

using pending_job_ptr = std::shared_ptr<pending_job>;

/// Executes stage jobs, at this entry or at another one.
class job_executor
{
public:
    virtual ~job_executor() = default;

    /// Has targets of \a service execute \a job. \a pending always receives an
    /// outcome, at the latest soon after the job has expired.
    virtual void execute(const std::string& service, decision::stage_job job,
                         pending_job_ptr pending) = 0;

    /// Releases results of \a service, which their targets then delete.
    virtual void release(const std::string& service,
                         std::vector<std::string> handles) = 0;
};

} // namespace mangofold::serving

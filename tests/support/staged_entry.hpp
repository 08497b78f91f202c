#pragma once

#include "support/starting_entry.hpp"

#include <deque>

namespace mangofold::test
{

using action = scripted_target::response::connection_action;

inline std::string head(const std::string& request)
{
    return "HTTP/1.1 200 OK\r\nId: " + request_id_of(request) +
           "\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string event(int id)
{
    return "10\r\nid: " + std::to_string(id) + "\ndata: v1\n\n\r\n";
}

/// An entry whose stages end as the test says, and complete otherwise. Callers
/// wait \a patience for an event.
class staged_entry : public starting_entry
{
public:
    explicit staged_entry(decision::duration patience = 2s)
    {
        context->has_all_targets = true;
        catalog::document changed = context->catalog->content();
        for (catalog::route& route : changed.routes)
        {
            if (route.name != "staged")
                continue;
            route.patience = patience;
            route.is_resumable = true;
            route.max_targets = 2;
        }
        context->catalog = std::make_shared<catalog::catalog_index>(changed);
        streams.record(
            decision::make_stream_key("club", "h", "/staged/r1", "r1"),
            {"events", "v1"}, 5s);
    }

    void execute(const std::string&, decision::stage_job job,
                 serving::pending_job_ptr pending) override
    {
        jobs.push_back(job);
        auto status = decision::job_status::completed;
        if (!outcomes.empty())
        {
            status = outcomes.front();
            outcomes.pop_front();
        }
        std::vector<std::string> handles;
        if (status == decision::job_status::completed)
            handles.assign(job.pieces, "127.0.0.1:9/h");
        pending->set_outcome({status, handles, false, {}});
    }

    /// Adds an engine of version "v1" that nobody listens for.
    void add_unreachable_engine(std::uint64_t number)
    {
        context->directory.note({"dead" + std::to_string(number),
                                 "events",
                                 "127.0.0.1:" + std::to_string(number),
                                 "a",
                                 4,
                                 false,
                                 number,
                                 {},
                                 "v1"});
    }

    /// Adds an engine whose stream breaks off \a after its first event, which
    /// comes after \a delay.
    void add_breaking_engine(decision::duration delay, decision::duration after)
    {
        add_target("events",
                   [=](const std::string& request, std::size_t)
                   {
                       return scripted_target::response{
                           head(request) + event(2), action::reset, delay,
                           after};
                   });
    }

    /// Adds an engine that refuses the first \a refusals requests as full.
    void add_full_engine(int refusals)
    {
        m_full = &add_target(
            "events",
            [refusals](const std::string& request, std::size_t number)
            {
                const std::string id = request_id_of(request);
                if (static_cast<int>(number) < refusals)
                    return scripted_target::response{
                        response_text(id, "", "503 Full", "Not-Run: 1\r\n"),
                        action::keep};
                return scripted_target::response{
                    head(request) + event(3) + completed, action::keep};
            });
    }

    std::size_t requests_to_full_engine() const
    {
        return m_full->requests().size();
    }

    /// Adds an engine that sends \a events of a stream and then nothing.
    void add_silent_engine(const std::string& events)
    {
        m_silent =
            &add_target("events",
                        [events](const std::string& request, std::size_t) {
                            return scripted_target::response{
                                head(request) + events, action::hang};
                        });
    }

    std::size_t silent_requests() const { return m_silent->requests().size(); }

    std::shared_ptr<caller> request(const std::string& headers)
    {
        auto connection = connect();
        serving_fixture::send(
            *connection,
            request_text("/staged/r1", "r2", "Pieces: 11\r\n" + headers));
        return connection;
    }

    std::deque<decision::job_status> outcomes; ///< Of the next jobs.

private:
    scripted_target* m_full = nullptr;
    scripted_target* m_silent = nullptr;
};

} // namespace mangofold::test

#pragma once

#include "support/serving_fixture.hpp"

#include <functional>
#include <string>

namespace mangofold::test
{

using end = scripted_target::response::connection_action;

inline bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Returns the id of \a request, as plain_dialect sends it.
inline std::string request_id_of(const std::string& request)
{
    const std::size_t at = request.find("Id: ") + 4;
    return request.substr(at, request.find('\r', at) - at);
}

/// An entry with targets that crash when they start a request whose bytes hold
/// \a trigger. Each crashed target is replaced by a new one.
struct crashing_targets : serving_fixture
{
    crashing_targets(std::string service_name, std::string trigger_text)
        : service(std::move(service_name)), trigger(std::move(trigger_text))
    {
        constexpr int targets = 4;
        for (int index = 0; index < targets; ++index)
            add();
    }

    void add()
    {
        const std::string name = "t" + std::to_string(++targets_listed);
        add_target(
            service,
            [this, name](const std::string& request, std::size_t)
            { return react(name, request); },
            "a", version);
    }

    scripted_target::response react(const std::string& name,
                                    const std::string& request)
    {
        if (trigger.empty() || !contains(request, trigger))
            return {response_text(request_id_of(request), served_body),
                    end::keep};
        ++crashes;
        scripted_target::response crash{sent_before_crash, crash_by};
        if (!sent_before_crash.empty())
            crash.action_delay = std::chrono::milliseconds(5);
        context->directory.note_confirmed_removal(name, 100 + crashes);
        add();
        return crash;
    }

    /// Sends a request to \a path a while later, under a new id, as a caller
    /// that repeats its request does.
    std::string ask_again(const std::string& path,
                          const std::string& headers = {})
    {
        time.advance(std::chrono::milliseconds(500));
        return ask(path, headers);
    }

    /// Sends a request under a new id, and lets time pass until its answer.
    std::string ask(const std::string& path, const std::string& headers)
    {
        const auto from = connect();
        send(*from, request_text(path, "r" + std::to_string(++requests_sent),
                                 headers));
        return wait_for_answer(*from);
    }

    std::string wait_for_answer(const caller& from)
    {
        constexpr int max_steps = 2000;
        for (int step = 0; step < max_steps && !from.is_ended &&
                           !contains(from.received, "\r\n\r\n");
             ++step)
        {
            loop.run_for(std::chrono::milliseconds(2));
            time.advance(std::chrono::milliseconds(10));
        }
        settle();
        return from.received;
    }

    std::string service;
    std::string trigger;
    std::string served_body = "id: 1\ndata: e\n\n";
    /// What a target sends 5 ms before it crashes.
    std::string sent_before_crash;
    end crash_by = end::reset;
    std::string version = "v1"; ///< Of targets added from now on.
    std::size_t targets_listed = 0;
    std::size_t crashes = 0;
    std::size_t requests_sent = 0;
};

} // namespace mangofold::test

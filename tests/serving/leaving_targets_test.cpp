#include "support/complete_responses.hpp"

#include <doctest/doctest.h>

using namespace mangofold::test;
using namespace std::chrono_literals;
using end = scripted_target::response::connection_action;

namespace
{

std::string id_of(const std::string& request)
{
    const std::size_t at = request.find("Id: ");
    return at == std::string::npos
               ? ""
               : request.substr(at + 4, request.find('\r', at) - at - 4);
}

/// Returns a script of a target of \a service whose responses say that it is
/// leaving if \a is_leaving.
scripted_target::script make_script(const std::string& service, bool is_leaving)
{
    return [=](const std::string& request, std::size_t)
    {
        std::string body = service == "events" ? "id: 1\ndata: e\n\n" : "whole";
        if (contains(request, "/make"))
            body = "127.0.0.1:1/a\n";
        return scripted_target::response{
            response_text(id_of(request), body, "200 OK",
                          is_leaving ? "Seal: s\r\nLeaving: 1\r\n"
                                     : "Seal: s\r\n"),
            end::keep};
    };
}

} // namespace

// Guards against requests that reach a target after it has said that it is
// leaving, while the list does not say so yet.
TEST_CASE("a target that says that it is leaving gets no further requests")
{
    for (const std::string path : {"/once/", "/events/", "/staged/"})
    {
        CAPTURE(path);
        const std::string service = path == "/events/"   ? "events"
                                    : path == "/staged/" ? "pieces"
                                                         : "plain";
        serving_fixture entry;
        if (service == "pieces")
            entry.add_target("events", make_script("events", false));
        auto& leaving = entry.add_target(service, make_script(service, true));
        entry.add_target(service, make_script(service, false));
        for (int index = 0; index < 20; ++index)
        {
            entry.send_and_receive(
                request_text(path, "r" + std::to_string(index),
                             service == "pieces" ? "Pieces: 10\r\n" : ""));
            entry.time.advance(300ms);
        }
        CHECK(leaving.requests().size() <= 1);
    }
}

#pragma once

#include "support/serving_fixture.hpp"

#include <string>

namespace mangofold::test
{

/// Whether \a text contains \a part.
inline bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Returns the id of \a request; empty for calls, which have none.
inline std::string request_id_of(const std::string& request)
{
    const std::size_t at = request.find("Id: ");
    return at == std::string::npos
               ? ""
               : request.substr(at + 4, request.find('\r', at) - at - 4);
}

/// Returns a complete response with the request id of \a request, and keeps the
/// connection open.
inline scripted_target::response complete_response(const std::string& request,
                                                   std::size_t)
{
    const std::size_t at = request.find("Id: ") + 4;
    const std::string id = request.substr(at, request.find('\r', at) - at);
    return {response_text(id, "whole"),
            scripted_target::response::connection_action::keep};
}

/// Returns a complete response of the target at \a address of \a service, with
/// the header lines \a headers: an event stream of "events", results of a call
/// for pieces, which are numbered by \a results, or a short body.
inline scripted_target::response
complete_response_of(const std::string& service, const std::string& address,
                     const std::string& request, std::size_t& results,
                     const std::string& headers = {})
{
    std::string body = service == "events" ? "id: 1\ndata: e\n\n" : "whole";
    if (contains(request, "/make"))
    {
        body.clear();
        const std::string pieces = request.substr(request.find("\r\n\r\n") + 4);
        for (std::size_t at = 0; at < pieces.size();
             at = pieces.find('\n', at) + 1)
            body += address + "/" + std::to_string(++results) + "\n";
    }
    return {response_text(request_id_of(request), body, "200 OK",
                          "Seal: s\r\n" + headers),
            scripted_target::response::connection_action::keep};
}

} // namespace mangofold::test

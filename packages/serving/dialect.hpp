#pragma once

#include "decision/stages/stage_job.hpp"
#include "decision/target_incarnation.hpp"
#include "serving/http.hpp"
#include "serving/message_metadata.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace mangofold::serving
{

/// The wire format of callers and targets: translates between HTTP messages
/// and the typed metadata that this package works with. Makes no decisions of
/// its own, so that the serving code is independent of header names and body
/// formats.
class dialect
{
public:
    virtual ~dialect() = default;

    /// Returns the metadata in the headers of \a request. Throws
    /// invalid_message.
    virtual request_metadata
    parse_request(const http_request& request) const = 0;

    /// Names in \a fields of a request its \a id and the \a target, which alone
    /// may execute it.
    virtual void
    set_addressee(http_fields& fields, const std::string& id,
                  const decision::target_incarnation& target) const = 0;

    /// Returns the headers to send to any target: those of \a request that may
    /// be forwarded, and \a metadata, which only this system sets.
    virtual http_fields
    forwarded_fields(const http_request& request,
                     const forwarding_metadata& metadata) const = 0;

    /// Returns the metadata in the headers of a target's \a response.
    virtual response_metadata
    parse_response(const http_response_head& response) const = 0;

    /// Returns the headers of a target's \a response to pass on to the caller.
    virtual http_fields
    returned_fields(const http_response_head& response) const = 0;

    /// Returns the headers that mark a response as one to the request \a id.
    virtual http_fields request_id_fields(const std::string& id) const = 0;

    /// Returns the request that has a target execute \a pieces.
    virtual http_request
    make_pieces_request(const std::vector<piece_task>& pieces) const = 0;

    /// Returns the results in the \a body of the response to a request of
    /// make_pieces_request(), in the order of its pieces. Throws
    /// invalid_message.
    virtual std::vector<piece_result>
    parse_piece_results(std::string_view body) const = 0;

    /// Returns the request that has a target delete the results \a handles.
    virtual http_request
    make_release_request(const std::vector<std::string>& handles) const = 0;

    /// Returns the address of the target that produced the result \a handle,
    /// "IP:port".
    virtual std::string producer_address(const std::string& handle) const = 0;
};

} // namespace mangofold::serving

#pragma once

#include "decision/digest.hpp"
#include "decision/ticket_issuer.hpp"
#include "decision/time.hpp"

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace mangofold::entry
{

/// A ticket for a stage that must not be repeated.
struct stage_ticket
{
    std::string stage;
    decision::ticket value;

    friend auto operator<=>(const stage_ticket&, const stage_ticket&) = default;
};

/// A parsed request of a client.
struct request
{
    std::string pipeline;
    std::string account;
    std::string id;
    decision::duration deadline{}; ///< Zero if the client sets none.
    std::string input;             ///< JSON.
    std::vector<stage_ticket> tickets;

    friend bool operator==(const request&, const request&) = default;
};

/// Reports a request that cannot be parsed. The text is meant for the client.
class request_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Returns the request in the JSON text \a body. Throws request_error.
request parse_request(const std::string& body);

/// Returns the digest that tells a resend from a different request under the
/// same id.
decision::digest content_digest(const request& value);

/// Returns \a tickets as the opaque text that clients send with the request.
std::string to_text(const std::vector<stage_ticket>& tickets);

} // namespace mangofold::entry

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

/// A ticket for one stage of a request.
struct stage_ticket
{
    std::string stage;
    decision::ticket value;

    friend auto operator<=>(const stage_ticket&, const stage_ticket&) = default;
};

/// A caller's request, parsed.
struct request
{
    std::string pipeline;
    std::string account;
    std::string id;
    decision::duration deadline{}; ///< Zero where the caller names none.
    std::string input;             ///< JSON.
    std::vector<stage_ticket> tickets;

    friend bool operator==(const request&, const request&) = default;
};

/// A request that cannot be read, with the text for the caller.
class request_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Returns the request in \a body. Throws request_error.
request parse_request(const std::string& body);

/// Returns the digest that tells a resend from another request under the
/// same id.
decision::digest content_digest(const request& value);

/// Returns \a tickets as the opaque text that callers hand back.
std::string to_text(const std::vector<stage_ticket>& tickets);

} // namespace mangofold::entry

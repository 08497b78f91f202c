#pragma once

#include "decision/time.hpp"
#include "runtime/address.hpp"
#include "runtime/http_client.hpp"

#include <functional>
#include <string>

namespace mangofold::runtime
{

/// Returns the response to a GET of \a path whose response the server may delay
/// (long polling). Aborts soon after \a should_continue returns false, so that
/// a process that stops does not wait for the server. Throws http_error, also
/// after \a timeout and for a response with neither a length nor chunks.
http_response watch(const address& server, const std::string& path,
                    decision::duration timeout,
                    const std::function<bool()>& should_continue);

} // namespace mangofold::runtime

#pragma once

#include "decision/time.hpp"
#include "runtime/address.hpp"
#include "runtime/http_client.hpp"

#include <functional>
#include <string>

namespace mangofold::runtime
{

/// Returns the answer to a GET that may wait long. Gives up soon after
/// \a goes_on returns false, so that a process that stops need not wait for
/// the server. Throws http_error.
http_answer watch(const address& server, const std::string& path,
                  decision::duration timeout,
                  const std::function<bool()>& goes_on);

} // namespace mangofold::runtime

#pragma once

#include "serving/asio.hpp"
#include "serving/body_memory.hpp"

#include <memory>
#include <string>
#include <utility>

namespace mangofold::serving
{

/// The body of a caller's request and its share of the memory. Kept by the
/// exchange and by each connection that sends it; nobody copies it.
struct request_body
{
    explicit request_body(const body_memory& memory) : share(memory) {}

    std::string bytes;
    body_memory::request_share share;
    duration time_waited{}; ///< For its share, since the head had arrived.
};

using request_body_ptr = std::shared_ptr<const request_body>;

/// Returns the bytes of \a body, which they keep alive.
inline std::shared_ptr<const std::string> shared_bytes(request_body_ptr body)
{
    const std::string* bytes = &body->bytes;
    return {std::move(body), bytes};
}

/// What the head of a request says about how to read its body.
struct body_terms
{
    /// Whether the request will be refused whatever its body is.
    bool is_refused = false;
    decision::urgency rank;
    duration max_wait{}; ///< For memory.
};

} // namespace mangofold::serving

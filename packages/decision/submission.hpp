#pragma once

#include "decision/digest.hpp"
#include "decision/grant_table.hpp"
#include "decision/reason.hpp"
#include "decision/request_key.hpp"
#include "decision/ticket_issuer.hpp"
#include "decision/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::decision
{

/// Identifies one submission on one stream.
struct submission_ref
{
    link_id link = 0;
    std::uint64_t number = 0;

    friend auto operator<=>(const submission_ref&,
                            const submission_ref&) = default;
};

/// One attempt at one stage, as an entry sends it to a sidecar.
struct submission
{
    submission_ref ref;
    request_key key;
    std::uint32_t attempt = 0;
    bool is_repeatable = true;
    work_class priority = work_class::standard;
    std::uint32_t weight = 1;
    grant_ref grant;
    std::uint64_t generation = 0;
    duration budget{}; ///< Time left until the caller's deadline.
    std::string model;
    std::string body;
    digest request_digest;                ///< Of the caller's whole request.
    std::uint64_t pinned_incarnation = 0; ///< 0 accepts any process.
    /// Proves that the request is not older than the ticket.
    std::optional<ticket> presented_ticket;
    /// Targets that reported that they will never run the request.
    std::vector<std::string> renounced_by;

    friend bool operator==(const submission&, const submission&) = default;
};

} // namespace mangofold::decision

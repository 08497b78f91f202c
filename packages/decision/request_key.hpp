#pragma once

#include "decision/digest.hpp"

#include <compare>
#include <string>

namespace mangofold::decision
{

/// Identifies one stage of one request of one client account.
struct request_key
{
    std::string account;
    std::string request_id;
    std::string stage;

    friend auto operator<=>(const request_key&, const request_key&) = default;
};

/// Returns the digest by which ledgers and owner selection identify \a key.
inline digest digest_of(const request_key& key)
{
    const digest request = digest_of(key.account, key.request_id);
    return digest_of(std::to_string(request.high) + "/" +
                         std::to_string(request.low),
                     key.stage);
}

} // namespace mangofold::decision

#pragma once

#include "decision/digest.hpp"
#include "decision/suspects/name_set.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace mangofold::decision
{

/// What a request has that can crash a target: all of its content, which
/// callers send again under other ids, and the parts of its prompt, which other
/// requests share.
struct request_suspects
{
    digest content;
    std::vector<digest> parts; ///< Sorted.
    name_set account;          ///< The client account of the request.

    friend bool operator==(const request_suspects&,
                           const request_suspects&) = default;
};

/// Returns the digest under which crashes are recorded for the part \a id of
/// prompts for \a service.
digest prompt_part_digest(std::string_view service, std::string_view id);

/// Returns the digests of the parts that other requests can share, which are
/// all but the last of \a ids. The account is that of a request to \a service.
///
/// A prompt of more parts than the limit counts as one part, which it has in
/// common with all such prompts of its \a account. Otherwise a caller could
/// hide a part among others, or have each crash fill the log of crashes.
std::vector<digest> shared_part_digests(std::string_view service,
                                        std::string_view account,
                                        const std::vector<std::string>& ids);

} // namespace mangofold::decision

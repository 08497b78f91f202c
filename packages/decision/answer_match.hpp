#pragma once

#include <cstdint>
#include <string_view>

namespace mangofold::decision
{

/// Whose answer has arrived on a connection on which one request is
/// outstanding.
enum class answer_owner : std::uint8_t
{
    this_request,
    other_request, ///< An earlier one, whose answer was sent again.
    unknown        ///< This one or an earlier one.
};

/// What is known about the connection of an answer and its target.
struct answer_origin
{
    bool is_first_request = false;  ///< No request was sent on it before.
    bool target_states_ids = false; ///< In answers so far, on any connection.

    friend bool operator==(const answer_origin&,
                           const answer_origin&) = default;
};

/// Returns the owner of an answer that states the id \a stated_id, where the
/// outstanding request has \a sent_id. Either is empty if there is none: a
/// protocol without ids sends none.
constexpr answer_owner owner_of_answer(std::string_view sent_id,
                                       std::string_view stated_id,
                                       const answer_origin& origin)
{
    if (sent_id.empty() || sent_id == stated_id)
        return answer_owner::this_request;
    if (!stated_id.empty())
        return answer_owner::other_request;
    return origin.target_states_ids && !origin.is_first_request
               ? answer_owner::unknown
               : answer_owner::this_request;
}

} // namespace mangofold::decision

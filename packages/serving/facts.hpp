#pragma once

#include "serving/asio.hpp"

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// An HTTP message or stored document that cannot be parsed or is not valid.
/// The error text is returned to the sender of a request.
class facts_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A part of a prompt that other requests may share, for example in a target's
/// prefix cache.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// Metadata of a caller's request, as read from its headers.
struct request_facts
{
    std::string id;
    std::string host;               ///< Lower case, without a port.
    std::string path;               ///< Without the query.
    std::optional<duration> budget; ///< Time in which the caller expects
                                    ///< the response.
    std::optional<std::string> key; ///< API key.
    std::vector<prompt_part> prompt;
    std::uint32_t tokens_in = 0;
    std::uint32_t most_tokens_out = 0;
    std::vector<std::uint32_t> pieces; ///< Number of pieces of each stage.
    std::string piece_key; ///< Input of the stages that have no predecessor.
    std::string last_event_id; ///< Of a stream that the caller resumes.

    friend bool operator==(const request_facts&,
                           const request_facts&) = default;
};

/// Throws facts_error if \a facts hold values that no request may have,
/// whichever dialect they were read with.
void check_facts(const request_facts& facts);

/// Metadata that this system adds to a request to a target.
struct send_marks
{
    std::string target_id;
    duration budget{};
    std::optional<std::string> account;
    std::optional<std::vector<std::string>>
        inputs;                               ///< Handles of stage results.
    std::optional<unsigned> priority;         ///< From 0, highest, to 9.
    std::optional<std::string> last_event_id; ///< To resume after.

    friend bool operator==(const send_marks&, const send_marks&) = default;
};

/// Metadata of a target's response, as read from its headers.
struct answer_facts
{
    std::string id;           ///< Id of the request; may be empty.
    bool has_not_run = false; ///< The target did not execute the request.
    bool is_sealed = false;   ///< Has the target's signature.
    bool is_plain = true;     ///< Has no content encoding.
    std::optional<duration> idle_time; ///< For which the target keeps an idle
                                       ///< connection open.

    friend bool operator==(const answer_facts&, const answer_facts&) = default;
};

/// One piece of a stage for a target to execute.
struct piece_order
{
    std::string request; ///< Id of the request.
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    duration left{};                 ///< Time left until the piece expires.
    std::string key;                 ///< Used if the piece has no inputs.
    std::vector<std::string> inputs; ///< Handles of the results it needs.

    friend bool operator==(const piece_order&, const piece_order&) = default;
};

/// The outcome of one piece at a target.
struct piece_result
{
    enum class kind : std::uint8_t
    {
        made,
        late,    ///< The piece expired.
        gone,    ///< An input of the piece was lost.
        no_room, ///< The target had no memory for the result.
        failed
    };

    kind what = kind::failed;
    std::string handle; ///< Of the result, if it was made.

    friend bool operator==(const piece_result&, const piece_result&) = default;
};

} // namespace mangofold::serving

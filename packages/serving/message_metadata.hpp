#pragma once

#include "decision/stages/target_load_report.hpp"
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
class invalid_message : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A part of a prompt that other requests may share, for example in a target's
/// prefix cache.
struct prompt_segment
{
    std::string id;
    std::uint32_t tokens = 0;

    friend bool operator==(const prompt_segment&,
                           const prompt_segment&) = default;
};

/// Metadata of a caller's request, as read from its headers.
struct request_metadata
{
    std::string id;
    std::string host;               ///< Lower case, without a port.
    std::string path;               ///< Without the query.
    std::optional<duration> budget; ///< Time in which the caller expects
                                    ///< the response.
    std::optional<std::string> key; ///< API key.
    std::vector<prompt_segment> prompt;
    std::uint32_t input_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::vector<std::uint32_t> pieces; ///< Number of pieces of each stage.
    std::string piece_key; ///< Input of the stages that have no predecessor.
    std::string last_event_id; ///< Of a stream that the caller resumes.
    /// Id of the request that brought the first event of that stream.
    std::string resumed_request;

    friend bool operator==(const request_metadata&,
                           const request_metadata&) = default;
};

/// Throws invalid_message if \a metadata has a value that no request may have,
/// whichever dialect it was read with.
void validate_request(const request_metadata& metadata);

/// Returns the ids of the parts of \a prompt that other requests may share,
/// separated by spaces, for logs. The last part belongs to one request or
/// session; of a long prompt, only the first parts are returned.
std::string shared_part_ids(const std::vector<prompt_segment>& prompt);

/// Metadata that this system adds to a request to a target.
struct forwarding_metadata
{
    duration budget{};
    std::optional<std::string> account;
    std::optional<std::vector<std::string>>
        inputs;                               ///< Handles of stage results.
    std::optional<unsigned> priority;         ///< From 0, highest, to 9.
    std::optional<std::string> last_event_id; ///< To resume after.

    friend bool operator==(const forwarding_metadata&,
                           const forwarding_metadata&) = default;
};

/// Metadata of a target's response, as read from its headers.
struct response_metadata
{
    std::string id;           ///< Id of the request; may be empty.
    std::string target;       ///< Id of the target that answered; may be empty.
    bool has_not_run = false; ///< The target did not execute the request.
    bool is_signed = false;   ///< Has the target's signature.
    bool is_unencoded = true; ///< Has no content encoding.
    /// The target refused the request since it was meant for another one, which
    /// had the same address before.
    bool is_misdirected = false;
    /// Requests per second that the target accepts from all entries together;
    /// nothing if it states no limit.
    std::optional<double> request_limit;
    /// The target states a limit that cannot be parsed.
    bool is_limit_unreadable = false;
    bool is_leaving = false; ///< The target is about to exit.
    /// For how long a target that refuses a request wants no more of them from
    /// this process.
    std::optional<duration> rest;
    /// The target asks for a rest whose length cannot be parsed.
    bool is_rest_unreadable = false;
    /// The load that the target states; nothing if it states none.
    std::optional<decision::target_load_report> load;
    /// The target states a load that cannot be parsed or is not plausible.
    bool is_load_unreadable = false;
    std::optional<duration> keep_alive_timeout; ///< For which the target keeps
                                                ///< an idle connection open.

    friend bool operator==(const response_metadata&,
                           const response_metadata&) = default;
};

/// One piece of a stage for a target to execute.
struct piece_task
{
    std::string request_id;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    duration time_left{};            ///< Time left until the piece expires.
    std::string key;                 ///< Used if the piece has no inputs.
    std::vector<std::string> inputs; ///< Handles of the results it needs.

    friend bool operator==(const piece_task&, const piece_task&) = default;
};

/// The outcome of one piece at a target.
struct piece_result
{
    enum class status_code : std::uint8_t
    {
        succeeded,
        expired,     ///< The piece expired.
        input_lost,  ///< An input of the piece was lost.
        memory_full, ///< The target had no memory for the result.
        failed
    };

    status_code status = status_code::failed;
    std::string handle; ///< Of the result; empty if there is none.

    friend bool operator==(const piece_result&, const piece_result&) = default;
};

} // namespace mangofold::serving

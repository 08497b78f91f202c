#pragma once

#include "serving/asio.hpp"

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// A message that cannot be read, with the text for whoever sent it.
class facts_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// A part of a prompt that other requests may share.
struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;

    friend bool operator==(const prompt_part&, const prompt_part&) = default;
};

/// What a caller's request says about itself.
struct request_facts
{
    std::string id;
    std::string host; ///< Lower case, without a port.
    std::string path; ///< Without the query.
    std::optional<duration> budget;
    std::optional<std::string> key;
    std::vector<prompt_part> prompt;
    std::uint32_t tokens_in = 0;
    std::uint32_t most_tokens_out = 0;
    std::vector<std::uint32_t> pieces; ///< Of each stage.
    std::string piece_key;
    std::string last_event_id;

    friend bool operator==(const request_facts&,
                           const request_facts&) = default;
};

/// Throws facts_error where \a facts cannot be worked with, whoever sent them.
void check_facts(const request_facts& facts);

/// What the system itself says on a request to a target.
struct send_marks
{
    std::string target_id;
    duration budget{};
    std::optional<std::string> account;
    std::optional<std::vector<std::string>> inputs; ///< Results of stages.
    std::optional<unsigned> priority;               ///< 0 is first, 9 last.
    std::optional<std::string> last_event_id;       ///< To go on after.

    friend bool operator==(const send_marks&, const send_marks&) = default;
};

/// What a target's answer says about itself.
struct answer_facts
{
    std::string id;           ///< Of the request it answers; may be empty.
    bool has_not_run = false; ///< The target says so.
    bool is_sealed = false;   ///< It bears the target's signature.
    bool is_plain = true;     ///< Without a content encoding.
    std::optional<duration> idle_time; ///< How long it keeps a connection.

    friend bool operator==(const answer_facts&, const answer_facts&) = default;
};

/// One piece to be made by a target.
struct piece_order
{
    std::string request;
    std::uint32_t stage = 0;
    std::uint32_t piece = 0;
    duration left{};
    std::string key;                 ///< Where it has no inputs.
    std::vector<std::string> inputs; ///< Results it needs.

    friend bool operator==(const piece_order&, const piece_order&) = default;
};

/// How one piece ended at a target.
struct piece_result
{
    enum class kind : std::uint8_t
    {
        made,
        late,
        gone,
        no_room,
        failed
    };

    kind what = kind::failed;
    std::string handle;

    friend bool operator==(const piece_result&, const piece_result&) = default;
};

} // namespace mangofold::serving

#include "serving/message_metadata.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// Far above the number of pieces that stages have in practice, some tens.
/// Each pending piece takes memory, so a request for billions of them would
/// exhaust the memory of the process.
constexpr std::uint32_t max_pieces = 4096;

/// Parts of a prompt that a log line holds, and characters of each.
constexpr std::size_t max_logged_parts = 16;
constexpr std::size_t max_logged_part_length = 32;

/// Whether \a text consists of visible ASCII characters only.
bool is_visible(const std::string& text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character)
                       { return character > ' ' && character < '\x7f'; });
}

} // namespace

std::string shared_part_ids(const std::vector<prompt_segment>& prompt)
{
    std::string ids;
    for (std::size_t index = 0;
         index + 1 < prompt.size() && index < max_logged_parts; ++index)
    {
        if (!ids.empty())
            ids += ' ';
        ids.append(prompt[index].id, 0, max_logged_part_length);
    }
    return ids;
}

void validate_request(const request_metadata& metadata)
{
    // The id and the key are written to text-only messages. If one of them
    // could not be encoded, the call would fail for the pieces of other
    // requests too.
    if (!is_visible(metadata.id))
        throw invalid_message(
            "request id has bytes that are not visible characters");
    if (!is_visible(metadata.piece_key))
        throw invalid_message(
            "piece key has bytes that are not visible characters");
    if (std::any_of(metadata.pieces.begin(), metadata.pieces.end(),
                    [](std::uint32_t count) { return count > max_pieces; }))
        throw invalid_message("stage has more pieces than the limit");
}

} // namespace mangofold::serving

#include "serving/facts.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// Far above the number of pieces that stages have in practice, some tens.
/// Each pending piece takes memory, so a request for billions of them would
/// exhaust the memory of the process.
constexpr std::uint32_t max_pieces = 4096;

/// Whether \a text consists of visible ASCII characters only.
bool is_visible(const std::string& text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character)
                       { return character > ' ' && character < '\x7f'; });
}

} // namespace

void check_facts(const request_facts& facts)
{
    // The id and the key are written to text-only messages. If one of them
    // could not be encoded, the call would fail for the pieces of other
    // requests too.
    if (!is_visible(facts.id))
        throw facts_error(
            "request id has bytes that are not visible characters");
    if (!is_visible(facts.piece_key))
        throw facts_error(
            "piece key has bytes that are not visible characters");
    if (std::any_of(facts.pieces.begin(), facts.pieces.end(),
                    [](std::uint32_t count) { return count > max_pieces; }))
        throw facts_error("stage has more pieces than the limit");
}

} // namespace mangofold::serving

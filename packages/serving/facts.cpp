#include "serving/facts.hpp"

#include <algorithm>

namespace mangofold::serving
{

namespace
{

/// Many times what a stage has in practice, some tens. Each piece that waits
/// takes memory: a caller that says billions would end the process.
constexpr std::uint32_t most_pieces = 4096;

bool is_visible(const std::string& text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char one) { return one > ' ' && one < '\x7f'; });
}

} // namespace

void check_facts(const request_facts& facts)
{
    // Both go into messages that hold text only. One that could not be written
    // would end the call of pieces of other requests too.
    if (!is_visible(facts.id))
        throw facts_error("an id with bytes that are no visible characters");
    if (!is_visible(facts.piece_key))
        throw facts_error("a key of pieces with bytes that are no visible "
                          "characters");
    if (std::any_of(facts.pieces.begin(), facts.pieces.end(),
                    [](std::uint32_t one) { return one > most_pieces; }))
        throw facts_error("more pieces of a stage than are taken");
}

} // namespace mangofold::serving

#include "decision/generation_gate.hpp"

namespace mangofold::decision
{

namespace
{

constexpr std::size_t max_bad_bodies = 64;

} // namespace

// A service that is stale, or a peer that was cut off, offers what was true
// before. Taking it would turn back an accepted change, so only a higher
// generation is ever taken, from whatever source it comes.
generation_gate::verdict generation_gate::judge(std::uint64_t generation,
                                                const digest& body) const
{
    if (generation < m_generation)
        return verdict::older;
    if (generation == m_generation)
        return body == m_body ? verdict::known : verdict::conflict;
    if (m_bad.contains(body))
        return verdict::refused;
    return verdict::adopt;
}

void generation_gate::adopted(std::uint64_t generation, const digest& body)
{
    m_generation = generation;
    m_body = body;
    m_bad.clear();
}

bool generation_gate::found_bad(const digest& body)
{
    if (m_bad.size() >= max_bad_bodies)
        m_bad.clear();
    return m_bad.insert(body).second;
}

} // namespace mangofold::decision

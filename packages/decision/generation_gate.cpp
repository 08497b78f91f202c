#include "decision/generation_gate.hpp"

namespace mangofold::decision
{

namespace
{

constexpr std::size_t max_rejected_bodies = 64;

} // namespace

// A stale service, or a peer that was partitioned, offers an outdated
// configuration. Adopting it would revert an accepted change, so only a higher
// generation is adopted, whichever source offers it.
generation_gate::verdict generation_gate::evaluate(std::uint64_t generation,
                                                   const digest& body) const
{
    if (generation < m_generation)
        return verdict::older;
    if (generation == m_generation)
        return body == m_current_body ? verdict::known : verdict::conflict;
    if (m_rejected_bodies.contains(body))
        return verdict::refused;
    return verdict::adopt;
}

void generation_gate::set_current(std::uint64_t generation, const digest& body)
{
    m_generation = generation;
    m_current_body = body;
    m_rejected_bodies.clear();
}

bool generation_gate::add_rejected(const digest& body)
{
    if (m_rejected_bodies.size() >= max_rejected_bodies)
        m_rejected_bodies.clear();
    return m_rejected_bodies.insert(body).second;
}

} // namespace mangofold::decision

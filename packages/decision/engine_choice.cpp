#include "decision/engine_choice.hpp"

#include <algorithm>
#include <functional>

namespace mangofold::decision
{

namespace
{

/// How long a part is taken to stay at an engine after its last use; engines
/// drop the least recently used first.
constexpr duration kept_time = std::chrono::seconds(30);

/// Parts remembered of one engine before old ones are looked for.
constexpr std::size_t many_parts = 2048;

/// What a running generation costs new ones, in tokens to read: its share of
/// each step.
constexpr double running_cost = 60;

/// What a byte costs that an engine fetches from another zone, in tokens to
/// read: a megabyte as much as 800 tokens. It keeps large results in their
/// zone where that costs little reading.
constexpr double cross_zone_cost = 800.0 / (1 << 20U);

/// What sending to another zone costs by itself, in tokens to read: the way
/// there and back takes as long.
constexpr double other_zone_cost = 150;

/// A part is looked for at the engine that all entries choose for it, and
/// counted as kept there by this share: the others may have put it there.
constexpr double home_share = 0.6;

/// Returns what reading costs at the home of a prompt, where it costs
/// \a unkept by what this entry knows. What so many name that it is kept at
/// several engines is surely there, and an engine that this entry knows to
/// keep it must not draw all that it sends.
double home_cost(double unkept, bool is_one_of_many, double shared_tokens,
                 const generation& work)
{
    const double read = is_one_of_many
                            ? static_cast<double>(work.prompt.back().tokens)
                            : unkept;
    return read - home_share * shared_tokens;
}

constexpr duration first_aside = std::chrono::milliseconds(300);
constexpr std::uint32_t most_doublings = 4;

} // namespace

double engine_choice::uncached(const target_incarnation& id,
                               const generation& work, instant now) const
{
    const auto found = m_engines.find(id);
    double tokens = 0;
    bool is_kept = found != m_engines.end();
    for (const shared_part& part : work.prompt)
    {
        if (is_kept)
        {
            const auto kept = found->second.kept.find(part.id);
            is_kept = kept != found->second.kept.end() &&
                      kept->second + kept_time > now;
        }
        if (!is_kept)
            tokens += part.tokens;
    }
    return tokens;
}

const listed_target*
engine_choice::choose(const std::vector<const listed_target*>& candidates,
                      const std::set<target_incarnation>& tried,
                      const generation& work, const std::string& zone,
                      instant now)
{
    const prompt_homes::home home =
        m_homes.home_of(candidates, work.prompt, now);
    double home_tokens = 0;
    for (std::size_t at = 0; at + 1 < work.prompt.size(); ++at)
        home_tokens += work.prompt[at].tokens;
    const listed_target* best = nullptr;
    double least = 0;
    for (const listed_target* one : candidates)
    {
        if (tried.contains(one->incarnation))
            continue;
        double cost = uncached(one->incarnation, work, now);
        if (one == home.engine)
            cost = home_cost(cost, home.is_one_of_many, home_tokens, work);
        const auto known = m_engines.find(one->incarnation);
        if (known != m_engines.end())
        {
            cost += known->second.ahead;
            cost += running_cost * known->second.running;
            if (known->second.aside_until > now)
                cost += 1e9; // Only where all are set aside.
        }
        for (const auto& [from, bytes] : work.inputs)
            if (from != one->zone)
                cost += cross_zone_cost * static_cast<double>(bytes);
        if (one->zone != zone)
            cost += other_zone_cost;
        if (best != nullptr && cost >= least)
            continue;
        best = one;
        least = cost;
    }
    return best;
}

void engine_choice::forget_old(engine& one, instant now)
{
    if (one.kept.size() < many_parts)
        return;
    std::erase_if(one.kept, [now](const auto& part)
                  { return part.second + kept_time <= now; });
}

double engine_choice::note_sent(const target_incarnation& id,
                                const generation& work, instant now)
{
    const double tokens = uncached(id, work, now);
    engine& one = m_engines[id];
    forget_old(one, now);
    for (const shared_part& part : work.prompt)
        one.kept[part.id] = now;
    one.ahead += tokens;
    ++one.running;
    m_homes.note_placed(work.prompt, tokens + running_cost, now);
    return tokens;
}

void engine_choice::note_read(const target_incarnation& id, double tokens)
{
    engine& one = m_engines[id];
    one.ahead = std::max(0.0, one.ahead - tokens);
}

void engine_choice::note_ended(const target_incarnation& id)
{
    engine& one = m_engines[id];
    one.running -= one.running > 0 ? 1 : 0;
}

void engine_choice::note_failed(const target_incarnation& id, bool is_refusal,
                                instant now)
{
    engine& one = m_engines[id];
    if (!is_refusal)
        one.kept.clear();
    one.failures += 1;
    const std::uint32_t doublings = std::min(one.failures - 1, most_doublings);
    one.aside_until = now + first_aside * (1U << doublings);
}

void engine_choice::note_answered(const target_incarnation& id)
{
    engine& one = m_engines[id];
    one.failures = 0;
    one.aside_until = {};
}

} // namespace mangofold::decision

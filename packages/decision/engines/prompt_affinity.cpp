#include "decision/engines/prompt_affinity.hpp"

#include "decision/election.hpp"

#include <algorithm>
#include <cmath>

namespace mangofold::decision
{

namespace
{

/// Time in which the weight of placed load decays to 1/e: long enough to
/// cover some dozens of generations of one entry among a hundred.
constexpr duration decay_time = std::chrono::seconds(20);

/// Factor on a segment's share of the engines: its load arrives unevenly, and
/// the requests' own segments, which select one of its engines, are distributed
/// unevenly over them.
constexpr double headroom = 1.5;

/// The number of engines of a segment is a power of this base. Entries whose
/// estimates of the share differ by half then mostly get the same number.
constexpr double replica_base = 4;

/// Number of occurrences that are ignored: so few say nothing about the share
/// of a segment.
constexpr double ignored_occurrences = 1;

/// Shares are computed relative to at least this many generations.
constexpr double min_generations = 12;

/// Number of recorded segments from which old ones are pruned.
constexpr std::size_t prune_threshold = 4096;

/// Segments are pruned when their weight falls below this share of the mean
/// weight of a generation.
constexpr double negligible_share = 0.01;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

double prompt_affinity::decaying_sum::value(instant now) const
{
    return weight * std::exp(-seconds(now - at) / seconds(decay_time));
}

void prompt_affinity::decaying_sum::add(double amount, instant now)
{
    weight = value(now) + amount;
    at = now;
}

void prompt_affinity::note_placed(const std::vector<prompt_segment>& prompt,
                                  double tokens, instant now)
{
    m_tokens.add(tokens, now);
    m_generations.add(1, now);
    prune(now);
    for (std::size_t index = 0; index + 1 < prompt.size(); ++index)
        m_segment_tokens[prompt[index].id].add(tokens, now);
}

void prompt_affinity::prune(instant now)
{
    if (m_segment_tokens.size() < prune_threshold ||
        now < m_pruned_at + decay_time)
        return;
    m_pruned_at = now;
    const double least =
        negligible_share * m_tokens.value(now) / m_generations.value(now);
    std::erase_if(m_segment_tokens, [&](const auto& segment)
                  { return segment.second.value(now) < least; });
}

// One or two occurrences give no estimate of a segment's share. Taken at face
// value, they would spread every rare segment over several engines, each of
// which would have to prefill it.
double prompt_affinity::load_share(const std::string& segment,
                                   instant now) const
{
    const double generations = m_generations.value(now);
    if (generations <= 0)
        return 0;
    const double mean = m_tokens.value(now) / generations;
    const auto found = m_segment_tokens.find(segment);
    const double occurrences =
        found == m_segment_tokens.end() ? 0 : found->second.value(now) / mean;
    const double counted = std::max(occurrences - ignored_occurrences, 0.0);
    return std::min(1.0, counted / std::max(generations, min_generations));
}

std::size_t prompt_affinity::replica_count(const std::string& segment,
                                           std::size_t engine_count,
                                           instant now) const
{
    const double wanted =
        load_share(segment, now) * headroom * static_cast<double>(engine_count);
    if (wanted <= 1)
        return 1;
    const double exponent =
        std::round(std::log(wanted) / std::log(replica_base));
    return static_cast<std::size_t>(
        std::clamp(std::pow(replica_base, exponent), 1.0,
                   static_cast<double>(engine_count)));
}

prompt_affinity::preference prompt_affinity::preferred_engine(
    const std::vector<const listed_target*>& engines,
    const std::vector<prompt_segment>& prompt, instant now) const
{
    if (prompt.size() < 2 || engines.empty())
        return {};
    // The last shared segment decides: an engine that has it cached has read
    // all segments before it.
    const std::string& shared_segment = prompt[prompt.size() - 2].id;
    std::vector<std::pair<std::uint64_t, const listed_target*>> ranked;
    ranked.reserve(engines.size());
    for (const listed_target* engine : engines)
        ranked.emplace_back(
            election_rank(shared_segment, engine->incarnation.id), engine);
    const std::size_t count =
        replica_count(shared_segment, engines.size(), now);
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(), std::greater<>());
    // The request's own segment distributes the generations evenly over the
    // replicas and keeps a session at one of them.
    const std::uint64_t own = election_rank(shared_segment, prompt.back().id);
    return {ranked[own % count].second, count > 1};
}

} // namespace mangofold::decision

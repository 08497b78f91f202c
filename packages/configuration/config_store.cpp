#include "configuration/config_store.hpp"

#include "manifest/parse.hpp"
#include "runtime/event.hpp"

namespace mangofold::configuration
{

namespace
{

std::string_view to_string(source from)
{
    return from == source::service ? "service" : "peer";
}

} // namespace

void config_store::add_listener(listener value)
{
    m_listeners.push_back(std::move(value));
}

snapshot_ptr config_store::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

std::uint64_t config_store::generation() const
{
    const std::lock_guard lock(m_mutex);
    return m_gate.generation();
}

bool config_store::offer(std::string body, source from)
{
    const std::lock_guard change(m_change);
    manifest::document parsed;
    try
    {
        parsed = manifest::parse(body);
    }
    catch (const manifest::manifest_error& fault)
    {
        note_refused(body, fault.what(), from);
        return false;
    }
    if (!judge(parsed, body, from))
        return false;
    auto fresh = std::make_shared<const snapshot>(
        snapshot{std::move(parsed), std::move(body)});
    {
        const std::lock_guard lock(m_mutex);
        m_gate.set_current(fresh->document.generation,
                           decision::digest_of(fresh->body));
        m_current = fresh;
    }
    runtime::event("configuration_in_force")
        .with("generation", fresh->document.generation)
        .with("source", to_string(from))
        .info();
    m_metrics.set_gauge({"mangofold_generation", ""},
                        static_cast<double>(fresh->document.generation));
    for (const listener& one : m_listeners)
        one(fresh);
    return true;
}

bool config_store::judge(const manifest::document& parsed,
                         const std::string& body, source from)
{
    using verdict = decision::generation_gate::verdict;
    constexpr std::array names{"adopt", "known", "older", "conflict",
                               "refused"};
    verdict found{};
    {
        const std::lock_guard lock(m_mutex);
        found = m_gate.evaluate(parsed.generation, decision::digest_of(body));
    }
    ++m_metrics.count(
        {"mangofold_configurations_offered_total",
         runtime::label("verdict", names.at(static_cast<std::size_t>(found))) +
             "," + runtime::label("source", to_string(from))});
    if (found == verdict::conflict)
        runtime::event("configuration_conflict")
            .with("generation", parsed.generation)
            .error();
    return found == verdict::adopt;
}

void config_store::note_refused(const std::string& body,
                                const std::string& fault, source from)
{
    bool is_new = false;
    {
        const std::lock_guard lock(m_mutex);
        is_new = m_gate.add_rejected(decision::digest_of(body));
    }
    ++m_metrics.count({"mangofold_configurations_offered_total",
                       runtime::label("verdict", "bad") + "," +
                           runtime::label("source", to_string(from))});
    if (is_new)
        runtime::event("configuration_refused").with("fault", fault).error();
}

} // namespace mangofold::configuration

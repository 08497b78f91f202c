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
    const std::lock_guard offer_lock(m_offer_mutex);
    manifest::document parsed;
    try
    {
        parsed = manifest::parse(body);
    }
    catch (const manifest::manifest_error& error)
    {
        record_invalid(body, error.what(), from);
        return false;
    }
    if (!evaluate(parsed, body, from))
        return false;
    auto adopted = std::make_shared<const snapshot>(
        snapshot{std::move(parsed), std::move(body)});
    {
        const std::lock_guard lock(m_mutex);
        m_gate.set_current(adopted->document.generation,
                           decision::digest_of(adopted->body));
        m_current = adopted;
    }
    runtime::event("configuration_in_force")
        .with("generation", adopted->document.generation)
        .with("source", to_string(from))
        .info();
    m_metrics.set_gauge({"mangofold_generation", ""},
                        static_cast<double>(adopted->document.generation));
    for (const listener& notify : m_listeners)
        notify(adopted);
    return true;
}

bool config_store::evaluate(const manifest::document& parsed,
                            const std::string& body, source from)
{
    using verdict = decision::generation_gate::verdict;
    // Label values of the metric, in the order of the enumerators.
    constexpr std::array names{"adopt", "known", "older", "conflict",
                               "refused"};
    verdict result{};
    {
        const std::lock_guard lock(m_mutex);
        result = m_gate.evaluate(parsed.generation, decision::digest_of(body));
    }
    ++m_metrics.count(
        {"mangofold_configurations_offered_total",
         runtime::label("verdict", names.at(static_cast<std::size_t>(result))) +
             "," + runtime::label("source", to_string(from))});
    if (result == verdict::conflict)
        runtime::event("configuration_conflict")
            .with("generation", parsed.generation)
            .error();
    return result == verdict::adopt;
}

void config_store::record_invalid(const std::string& body,
                                  const std::string& error, source from)
{
    bool is_new = false;
    {
        const std::lock_guard lock(m_mutex);
        is_new = m_gate.add_rejected(decision::digest_of(body));
    }
    ++m_metrics.count({"mangofold_configurations_offered_total",
                       runtime::label("verdict", "bad") + "," +
                           runtime::label("source", to_string(from))});
    // Peers and the service offer an invalid manifest again and again; only
    // the first offer is logged.
    if (is_new)
        runtime::event("configuration_refused").with("fault", error).error();
}

} // namespace mangofold::configuration

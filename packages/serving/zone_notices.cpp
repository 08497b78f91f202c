#include "serving/zone_notices.hpp"

#include "runtime/event.hpp"

namespace mangofold::serving
{

namespace
{

void log_zone(const char* event, const std::string& zone, std::string_view from)
{
    runtime::event(event).with("zone", zone).with("from", from).info();
}

// A target reports that it is cold with its next heartbeat, a second or more
// after its zone returned to service. Until then it would get the full load of
// a warm target.
void mark_targets_cold(entry_context& context, const std::string& zone)
{
    if (!context.catalog)
        return;
    for (const catalog::service& service : context.catalog->content().services)
        for (const auto* target : context.directory.serving(service.name))
            if (target->zone == zone)
                context.cold_targets.note_cold(
                    target->incarnation, service.warm_up.period, context.now());
}

} // namespace

void apply_zone_evacuations(entry_context& context,
                            const decision::zone_snapshot& received,
                            std::string_view from)
{
    const std::set<std::string> before = context.evacuations.evacuated_zones();
    if (!context.evacuations.merge(received))
        return;
    const std::set<std::string> after = context.evacuations.evacuated_zones();
    context.directory.set_evacuated_zones(after);
    context.metrics.set_gauge({"zones_evacuated", {}},
                              static_cast<double>(after.size()));
    for (const std::string& zone : after)
        if (!before.contains(zone))
            log_zone("zone_evacuated", zone, from);
    for (const std::string& zone : before)
    {
        if (after.contains(zone))
            continue;
        log_zone("zone_taken_back", zone, from);
        mark_targets_cold(context, zone);
    }
}

} // namespace mangofold::serving

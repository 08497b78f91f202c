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

// A target says that it is cold with its next beat, a second or more after its
// zone was taken back. Until then it would get what a warm one gets.
void note_taken_back(entry_context& context, const std::string& zone)
{
    if (!context.catalog)
        return;
    for (const catalog::service& one : context.catalog->content().services)
        for (const auto* target : context.directory.serving(one.name))
            if (target->zone == zone)
                context.cold.note_cold(target->incarnation, one.warm_up.period,
                                       context.now());
}

} // namespace

void take_zone_words(entry_context& context,
                     const decision::zone_snapshot& words,
                     std::string_view from)
{
    const std::set<std::string> before = context.evacuations.evacuated_zones();
    if (!context.evacuations.merge(words))
        return;
    const std::set<std::string> now = context.evacuations.evacuated_zones();
    context.directory.set_evacuated_zones(now);
    context.metrics.set_gauge({"zones_evacuated", {}},
                              static_cast<double>(now.size()));
    for (const std::string& zone : now)
        if (!before.contains(zone))
            log_zone("zone_evacuated", zone, from);
    for (const std::string& zone : before)
    {
        if (now.contains(zone))
            continue;
        log_zone("zone_taken_back", zone, from);
        note_taken_back(context, zone);
    }
}

} // namespace mangofold::serving

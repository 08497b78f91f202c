#include "quarantine_mixed_world.hpp"

#include <doctest/doctest.h>

using namespace mangofold::decision;

// Guards against refusing a harmless request for a minute because it was in
// progress on targets that other requests crashed. This happens after a service
// has started, when no request was served yet: two requests crash its targets
// one after the other, and copies of a popular request are in progress on each
// of them.
TEST_CASE("a harmless request is not refused for crashes that others cause")
{
    struct scenario
    {
        std::size_t poisons = 0;
        std::size_t targets = 0;
        std::size_t entries = 0;
    };
    constexpr std::uint64_t seeds = 100; // Of each scenario.
    for (const scenario& tested :
         {scenario{1, 3, 6}, scenario{2, 3, 6}, scenario{3, 3, 6},
          scenario{2, 8, 6}, scenario{3, 8, 6}, scenario{2, 3, 68}})
    {
        CAPTURE(tested.poisons);
        CAPTURE(tested.targets);
        CAPTURE(tested.entries);
        std::size_t models_with_refusals = 0;
        std::size_t max_late_sends = 0;
        bool are_served = true;
        std::size_t timed_out = 0;
        std::size_t sent = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            mixed_load_model model(seed, tested.poisons, tested.targets,
                                   tested.entries);
            model.advance(12s);
            models_with_refusals += model.harmless_refused() > 0 ? 1 : 0;
            max_late_sends = std::max(max_late_sends, model.max_late_sends());
            timed_out += model.harmless_timed_out();
            sent += model.harmless_sent();
            are_served = are_served &&
                         model.harmless_served() > model.harmless_sent() / 2;
        }
        CHECK(models_with_refusals == 0);
        CHECK(are_served);
        // If three requests crash three targets in turn, all targets are down
        // most of the time.
        CHECK(timed_out <= (tested.poisons < tested.targets ? 0 : sent / 100));
        CHECK(max_late_sends <= quarantine::max_incidents);
    }
}

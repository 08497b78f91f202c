#include "decision/streams/version_answers.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace mangofold::decision;
using namespace std::chrono_literals;

namespace
{

constexpr instant now = instant(1h);

version_history history_with(const std::vector<version_observation>& answers)
{
    version_history history;
    history.note_gap(now);
    history.note_versions({{"chat", "v1"}}, now);
    version_answers received;
    for (std::size_t number = 0; number < answers.size(); ++number)
        received.note("k" + std::to_string(number), answers[number], 5,
                      history);
    return history;
}

} // namespace

// Guards against a version that one record keeper missed while it was out of
// reach of all entries.
TEST_CASE("a time counts that two record keepers have watched")
{
    const version_observation long_one{now - 60s, now - 1s, {}};
    const version_observation short_one{now - 5s, now - 2s, {}};
    CHECK(history_with({long_one}).observation()->since == now);
    CHECK(history_with({long_one, short_one}).observation()->since == now - 5s);
    CHECK(history_with({long_one, short_one, long_one}).observation()->since ==
          now - 60s);
}

// Guards against spans that are joined although neither adjoins the other.
TEST_CASE("record keepers that watched long ago make nothing known")
{
    const version_observation old{now - 60s, now - 11s, {}};
    CHECK(history_with({old, old}).observation()->since == now);
}

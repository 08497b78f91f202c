#include "decision/engines/engine_groups.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace mangofold::decision;

// Guards against one entry that schedules thousands of engines with a hundredth
// of a core.
TEST_CASE("a service with very many engines is split into groups")
{
    CHECK(engine_groups("s", 128) == std::vector<std::string>{"s"});
    const auto groups = engine_groups("s", 5600);
    std::map<std::string, std::size_t> sizes;
    for (int index = 0; index < 5600; ++index)
        ++sizes[group_of_engine("engine-" + std::to_string(index), groups)];
    CHECK(sizes.size() == groups.size());
    for (const auto& [group, size] : sizes)
        CHECK(size <= 128);
}

// Guards against shared segments that are read in every group.
TEST_CASE("generations with the same shared segment belong to one group")
{
    const auto groups = engine_groups("s", 1000);
    CHECK(group_of_prompt({{"shared", 9}, {"own-1", 1}}, groups) ==
          group_of_prompt({{"shared", 9}, {"own-2", 1}}, groups));
    CHECK(group_of_prompt({}, groups) == groups.front());
}

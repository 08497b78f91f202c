#include "configuration/config_store.hpp"

#include <doctest/doctest.h>

using namespace mangofold;
using configuration::config_store;
using configuration::source;

namespace
{

std::string manifest_of(int generation, const std::string& account = "desk")
{
    return R"({"resend_horizon_ms": 6000, "zones": ["z1"], "models": [],
        "pools": [{"id": "p", "slots": 1, "targets": [{"id": "t",
            "zone": "z1", "address": "127.0.0.1:1",
            "sidecar": "127.0.0.1:2"}]}],
        "pipelines": [{"id": "chat", "deadline_ms": 100,
            "stages": [{"id": "s", "pool": "p"}]}],
        "accounts": [{"id": ")" +
           account + R"("}], "generation": )" + std::to_string(generation) +
           "}";
}

} // namespace

TEST_SUITE("config store")
{
    TEST_CASE("a stale configuration service cannot revert an adopted manifest")
    {
        // A peer offers generation 2. Then a stale replica of the service
        // answers a read with generation 1 again.
        runtime::metrics counters;
        config_store store(counters);
        CHECK(store.offer(manifest_of(1), source::service));
        CHECK(store.offer(manifest_of(2), source::peer));
        CHECK_FALSE(store.offer(manifest_of(1), source::service));
        CHECK(store.generation() == 2);
    }

    TEST_CASE("an invalid manifest leaves the current one in use")
    {
        runtime::metrics counters;
        config_store store(counters);
        store.offer(manifest_of(1), source::service);
        CHECK_FALSE(store.offer("{\"generation\": 2}", source::service));
        CHECK(store.generation() == 1);
        CHECK(store.current()->document.generation == 1);
    }

    TEST_CASE("of two different manifests of one generation the first is kept")
    {
        runtime::metrics counters;
        config_store store(counters);
        store.offer(manifest_of(1), source::service);
        CHECK_FALSE(store.offer(manifest_of(1, "other"), source::peer));
        CHECK(store.current()->document.accounts[0].id == "desk");
    }

    TEST_CASE("listeners are called for each adopted manifest, in order")
    {
        runtime::metrics counters;
        config_store store(counters);
        std::string generations;
        store.add_listener(
            [&](const configuration::snapshot_ptr& value)
            { generations += std::to_string(value->document.generation); });
        for (int generation : {1, 3, 2, 4})
            store.offer(manifest_of(generation), source::peer);
        CHECK(generations == "134");
    }
}

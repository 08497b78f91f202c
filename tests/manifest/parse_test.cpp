#include "manifest/parse.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace mangofold::manifest;

namespace
{

nlohmann::json small_manifest()
{
    return nlohmann::json::parse(R"({
        "generation": 3, "resend_horizon_ms": 6000, "zones": ["z1"],
        "models": [{"id": "writer", "versions": ["1"], "adapters": ["spa"]}],
        "pools": [{"id": "generators", "slots": 4, "targets": [
            {"id": "g1", "zone": "z1", "address": "127.0.0.1:7001",
             "sidecar": "127.0.0.1:7501"}]}],
        "pipelines": [{"id": "chat", "class": "urgent", "deadline_ms": 4000,
            "stages": [{"id": "generate", "pool": "generators",
                        "model": "writer:1+spa", "repeatable": false}]}],
        "accounts": [{"id": "desk"}]})");
}

std::vector<validation_error> errors_of(const nlohmann::json& value)
{
    try
    {
        parse(value.dump());
    }
    catch (const manifest_error& error)
    {
        return error.errors();
    }
    return {};
}

bool has_error_at(const nlohmann::json& value, const std::string& path)
{
    for (const validation_error& error : errors_of(value))
    {
        if (error.path == path)
            return true;
    }
    return false;
}

} // namespace

TEST_SUITE("manifest")
{
    TEST_CASE("a valid manifest is read with all of its members")
    {
        const document value = parse(small_manifest().dump());
        CHECK(value.generation == 3);
        CHECK(value.find_pool("generators")->shares.bulk_reserve == 1);
        CHECK_FALSE(value.find_pipeline("chat")->is_repeatable());
        CHECK(value.find_account("nobody") == nullptr);
        CHECK(value.start_horizon() == std::chrono::seconds(12));
    }

    TEST_CASE("each error is reported with the path of its member")
    {
        nlohmann::json invalid = small_manifest();
        invalid["generation"] = 0;
        invalid["pools"][0]["targets"][0]["zone"] = "z9";
        invalid["pools"][0]["targets"][0]["address"] = "localhost:7001";
        invalid["pools"][0]["slotz"] = 4;
        invalid["pipelines"][0]["class"] = "soon";
        const std::vector<validation_error> found = errors_of(invalid);
        CHECK(found.size() == 3);
        CHECK(has_error_at(invalid, "/pools/0/targets/0/address"));
        CHECK(has_error_at(invalid, "/pools/0/slotz"));
        CHECK(has_error_at(invalid, "/pipelines/0/class"));
    }

    TEST_CASE("references to undeclared items are errors")
    {
        nlohmann::json invalid = small_manifest();
        invalid["pools"][0]["targets"][0]["zone"] = "z9";
        invalid["pipelines"][0]["stages"][0]["pool"] = "nowhere";
        invalid["pipelines"][0]["deadline_ms"] = 0;
        invalid["accounts"].push_back({{"id", "desk"}});
        CHECK(has_error_at(invalid, "/pools/0/targets/0/zone"));
        CHECK(has_error_at(invalid, "/pipelines/0/stages/0/pool"));
        CHECK(has_error_at(invalid, "/pipelines/0/deadline_ms"));
        CHECK(has_error_at(invalid, "/accounts/1/id"));
    }

    TEST_CASE("a stage must name a declared version and adapter of its model")
    {
        nlohmann::json invalid = small_manifest();
        for (const char* name :
             {"writer", "writer:2", "writer:1+clubs", "painter:1"})
        {
            invalid["pipelines"][0]["stages"][0]["model"] = name;
            CHECK(has_error_at(invalid, "/pipelines/0/stages/0/model"));
        }
    }

    // Targets of an evacuated zone must get no work.
    TEST_CASE("the targets of an evacuated zone are removed")
    {
        nlohmann::json value = small_manifest();
        const std::string zone = value["pools"][0]["targets"][0]["zone"];
        const document before = parse(value.dump());
        value["evacuated_zones"] = {zone};
        const document read = parse(value.dump());
        std::size_t removed_targets = 0;
        for (std::size_t index = 0; index < read.pools.size(); ++index)
        {
            for (const target& candidate : read.pools[index].targets)
                CHECK(candidate.zone != zone);
            removed_targets += before.pools[index].targets.size() -
                               read.pools[index].targets.size();
        }
        CHECK(removed_targets > 0);
        value["evacuated_zones"] = {"z9"};
        CHECK(has_error_at(value, "/evacuated_zones/0"));
    }

    TEST_CASE("a text that is not a JSON object is rejected")
    {
        CHECK_THROWS_AS(parse("{"), manifest_error);
        CHECK_THROWS_AS(parse("[]"), manifest_error);
        CHECK_THROWS_AS(parse(""), manifest_error);
    }
}

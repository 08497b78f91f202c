#include "manifest/parse.hpp"

#include "manifest/check.hpp"
#include "manifest/reader.hpp"

namespace mangofold::manifest
{

namespace
{

std::string error_list(const std::vector<validation_error>& errors)
{
    std::string text = "the manifest is invalid:";
    for (const validation_error& error : errors)
        text += "\n  " + (error.path.empty() ? "/" : error.path) + " " +
                error.message;
    return text;
}

decision::duration milliseconds(std::uint64_t count)
{
    // Saturates the value so that the conversion cannot overflow; the limit is
    // far above every bound that check() enforces.
    constexpr std::uint64_t max_count = 1'000'000'000;
    return std::chrono::milliseconds(count < max_count ? count : max_count);
}

decision::work_class read_class(reader& object)
{
    const std::string name = object.optional_string("class");
    if (name.empty())
        return decision::work_class::standard;
    for (std::size_t index = 0; index < decision::work_class_count; ++index)
    {
        const auto value = static_cast<decision::work_class>(index);
        if (to_string(value) == name)
            return value;
    }
    object.add_error("class", "must be urgent, standard or bulk");
    return decision::work_class::standard;
}

model read_model(reader& object)
{
    return {object.string("id"), object.string_list("versions"),
            object.optional_string_list("adapters")};
}

target read_target(reader& object)
{
    return {object.string("id"), object.string("zone"),
            object.address("address"), object.address("sidecar")};
}

pool read_pool(reader& object)
{
    pool value;
    value.id = object.string("id");
    value.slots = object.unsigned_number("slots");
    value.shares.bulk_reserve =
        object.optional_unsigned("bulk_reserve", value.slots / 4);
    value.shares.standard_reserve =
        object.optional_unsigned("standard_reserve", value.slots / 8);
    value.shares.max_queued =
        object.optional_unsigned("max_queued", value.shares.max_queued);
    value.checks_orders = object.optional_bool("checks_orders", false);
    object.for_each_object("targets", [&](reader& item)
                           { value.targets.push_back(read_target(item)); });
    return value;
}

stage read_stage(reader& object)
{
    return {object.string("id"), object.string("pool"),
            object.optional_string("model"),
            object.optional_bool("repeatable", true)};
}

pipeline read_pipeline(reader& object)
{
    pipeline value;
    value.id = object.string("id");
    value.priority = read_class(object);
    value.deadline = milliseconds(object.unsigned_number("deadline_ms"));
    object.for_each_object("stages", [&](reader& item)
                           { value.stages.push_back(read_stage(item)); });
    return value;
}

account read_account(reader& object)
{
    account value;
    value.id = object.string("id");
    value.weight =
        static_cast<std::uint32_t>(object.optional_unsigned("weight", 1));
    value.rate_per_s = object.optional_non_negative("rate_per_s");
    value.burst = object.optional_non_negative("burst");
    if (value.weight == 0)
        object.add_error("weight", "must be at least 1");
    return value;
}

document read_document(reader& object)
{
    document manifest;
    manifest.generation = object.unsigned_number("generation");
    manifest.resend_horizon =
        milliseconds(object.unsigned_number("resend_horizon_ms"));
    manifest.zones = object.string_list("zones");
    manifest.evacuated_zones = object.optional_string_list("evacuated_zones");
    object.for_each_object("models", [&](reader& item)
                           { manifest.models.push_back(read_model(item)); });
    object.for_each_object("pools", [&](reader& item)
                           { manifest.pools.push_back(read_pool(item)); });
    object.for_each_object(
        "pipelines", [&](reader& item)
        { manifest.pipelines.push_back(read_pipeline(item)); });
    object.for_each_object(
        "accounts",
        [&](reader& item) { manifest.accounts.push_back(read_account(item)); });
    return manifest;
}

} // namespace

manifest_error::manifest_error(std::vector<validation_error> errors)
    : std::runtime_error(error_list(errors)), m_errors(std::move(errors))
{
}

document parse(std::string_view text)
{
    std::vector<validation_error> errors;
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded())
        throw manifest_error(
            std::vector<validation_error>{{"", "is not valid JSON"}});
    document manifest;
    reader root(json, "", errors);
    if (json.is_object())
        manifest = read_document(root);
    root.report_unknown_members();
    if (errors.empty())
        errors = check(manifest);
    if (!errors.empty())
        throw manifest_error(std::move(errors));
    manifest.drop_evacuated_targets();
    return manifest;
}

} // namespace mangofold::manifest

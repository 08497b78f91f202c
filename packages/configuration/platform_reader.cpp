#include "configuration/platform_reader.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mangofold::configuration
{

namespace
{

constexpr std::chrono::milliseconds read_timeout{1'000};
constexpr unsigned http_ok = 200;
constexpr unsigned http_no_content = 204;

std::set<std::string> leaving_targets(const std::string& body)
{
    std::set<std::string> leaving;
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("instances") ||
        !json["instances"].is_array())
        return leaving;
    for (const auto& instance : json["instances"])
    {
        if (instance.is_object() && instance.value("state", "") == "leaving" &&
            instance.contains("id") && instance["id"].is_string())
            leaving.insert(instance["id"].get<std::string>());
    }
    return leaving;
}

} // namespace

platform_reader::platform_reader(const runtime::address& service,
                                 config_store& store,
                                 runtime::metrics& counters, mode manifest_mode,
                                 intervals pauses, std::uint64_t seed)
    : m_store(store), m_metrics(counters), m_manifest_mode(manifest_mode),
      m_pauses(pauses), m_random(seed), m_service(service),
      m_manifest_client(service), m_instances_client(service)
{
}

void platform_reader::set_leaving_listener(leaving_listener value)
{
    m_leaving_listener = std::move(value);
}

std::chrono::milliseconds platform_reader::read_manifest()
{
    const bool is_long_poll =
        m_manifest_mode == mode::watch && m_store.generation() > 0;
    std::string path =
        "/v1/manifest?after=" + std::to_string(m_store.generation());
    if (is_long_poll)
        path += "&wait_ms=" + std::to_string(m_pauses.watch.count());
    const auto timeout =
        is_long_poll ? m_pauses.watch + read_timeout : read_timeout;
    try
    {
        const runtime::http_response response =
            is_long_poll ? runtime::http_client(m_service).get(
                               path, timeout, [this] { return !m_is_stopping; })
                         : m_manifest_client.get(path, timeout);
        count_read("manifest", std::to_string(response.status));
        if (response.status == http_ok)
            m_store.offer(response.body, source::service);
        else if (response.status != http_no_content)
            return with_jitter(m_pauses.retry);
    }
    catch (const runtime::http_error&)
    {
        count_read("manifest", "no_answer");
        return with_jitter(m_pauses.retry);
    }
    // The pause between two long polls limits the reads that a burst of
    // changes can cause: the next long poll returns only the newest change.
    constexpr std::chrono::milliseconds watch_pause{250};
    return with_jitter(m_manifest_mode == mode::watch ? watch_pause
                                                      : m_pauses.poll);
}

// When one entry reads that a target is leaving, it tells the target's
// sidecar, and the sidecar's grants tell all other entries. Therefore each
// entry may read more rarely the more entries share the sidecars.
std::chrono::milliseconds platform_reader::read_instances(std::uint32_t readers)
{
    constexpr std::uint32_t readers_at_full_rate = 8;
    try
    {
        const runtime::http_response response =
            m_instances_client.get("/v1/instances", read_timeout);
        count_read("instances", std::to_string(response.status));
        if (response.status == http_ok)
            m_leaving = leaving_targets(response.body);
    }
    catch (const runtime::http_error&)
    {
        count_read("instances", "no_answer");
    }
    // While the list cannot be read, the last list that was read stays valid.
    if (m_leaving_listener)
        m_leaving_listener(m_leaving);
    return with_jitter(m_pauses.instances *
                       std::max(readers / readers_at_full_rate, 1U));
}

// Returns half to one and a half times the pause, so that processes that
// started at the same time do not keep sending their requests at the same
// time.
std::chrono::milliseconds
platform_reader::with_jitter(std::chrono::milliseconds pause)
{
    const auto span = static_cast<std::uint64_t>(pause.count()) + 1;
    return pause / 2 + std::chrono::milliseconds(m_random.below(span));
}

void platform_reader::count_read(const std::string& kind,
                                 const std::string& outcome)
{
    ++m_metrics.count({"mangofold_platform_reads_total",
                       runtime::label("kind", kind) + "," +
                           runtime::label("answer", outcome)});
}

} // namespace mangofold::configuration

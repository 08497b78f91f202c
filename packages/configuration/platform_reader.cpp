#include "configuration/platform_reader.hpp"

#include "runtime/http_watch.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mangofold::configuration
{

namespace
{

constexpr std::chrono::milliseconds read_timeout{1'000};
constexpr unsigned http_ok = 200;
constexpr unsigned http_no_change = 204;

std::set<std::string> leaving_targets(const std::string& body)
{
    std::set<std::string> leaving;
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("instances") ||
        !json["instances"].is_array())
        return leaving;
    for (const auto& one : json["instances"])
    {
        if (one.is_object() && one.value("state", "") == "leaving" &&
            one.contains("id") && one["id"].is_string())
            leaving.insert(one["id"].get<std::string>());
    }
    return leaving;
}

} // namespace

platform_reader::platform_reader(const runtime::address& service,
                                 config_store& store,
                                 runtime::metrics& counters, mode how,
                                 intervals waits, std::uint64_t seed)
    : m_store(store), m_metrics(counters), m_mode(how), m_waits(waits),
      m_random(seed), m_service(service), m_manifest_client(service),
      m_instances_client(service)
{
}

void platform_reader::set_leaving_listener(leaving_listener value)
{
    m_leaving_listener = std::move(value);
}

std::chrono::milliseconds platform_reader::read_manifest()
{
    const bool waits = m_mode == mode::watch && m_store.generation() > 0;
    std::string path =
        "/v1/manifest?after=" + std::to_string(m_store.generation());
    if (waits)
        path += "&wait_ms=" + std::to_string(m_waits.watch.count());
    const auto timeout = waits ? m_waits.watch + read_timeout : read_timeout;
    try
    {
        const runtime::http_answer answer =
            waits ? runtime::watch(m_service, path, timeout,
                                   [this] { return !m_is_stopping; })
                  : m_manifest_client.get(path, timeout);
        count_read("manifest", std::to_string(answer.status));
        if (answer.status == http_ok)
            m_store.offer(answer.body, source::service);
        else if (answer.status != http_no_change)
            return jittered(m_waits.after_failure);
    }
    catch (const runtime::http_error&)
    {
        count_read("manifest", "no_answer");
        return jittered(m_waits.after_failure);
    }
    // The pause between two watches bounds the reads that a burst of changes
    // can cause: a watch then answers with the newest one only.
    constexpr std::chrono::milliseconds between_watches{250};
    return jittered(m_mode == mode::watch ? between_watches : m_waits.poll);
}

// A mark that one entry reads reaches the sidecar, and with its grants every
// other entry. The more entries a sidecar has, the more rarely each reads.
std::chrono::milliseconds platform_reader::read_instances(std::uint32_t readers)
{
    constexpr std::uint32_t readers_at_full_rate = 8;
    try
    {
        const runtime::http_answer answer =
            m_instances_client.get("/v1/instances", read_timeout);
        count_read("instances", std::to_string(answer.status));
        if (answer.status == http_ok)
            m_leaving = leaving_targets(answer.body);
    }
    catch (const runtime::http_error&)
    {
        count_read("instances", "no_answer");
    }
    // While the list cannot be read, what it said last still stands.
    if (m_leaving_listener)
        m_leaving_listener(m_leaving);
    return jittered(m_waits.instances *
                    std::max(readers / readers_at_full_rate, 1U));
}

// Half to one and a half times the wait, so that processes which started
// together do not go on reading together.
std::chrono::milliseconds
platform_reader::jittered(std::chrono::milliseconds wait)
{
    const auto span = static_cast<std::uint64_t>(wait.count()) + 1;
    return wait / 2 + std::chrono::milliseconds(m_random.below(span));
}

void platform_reader::count_read(const std::string& kind,
                                 const std::string& outcome)
{
    ++m_metrics.count({"mangofold_platform_reads_total",
                       runtime::label("kind", kind) + "," +
                           runtime::label("answer", outcome)});
}

} // namespace mangofold::configuration

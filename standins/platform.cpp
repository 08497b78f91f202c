#include "platform.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace mangofold::standins
{

namespace
{

using nlohmann::json;

std::uint64_t generation_of(const std::string& manifest)
{
    const json parsed = json::parse(manifest, nullptr, false);
    return parsed.is_object() ? parsed.value("generation", std::uint64_t{0})
                              : 0;
}

std::uint64_t query_number(const std::string& query, const std::string& name)
{
    const std::size_t position = query.find(name + "=");
    if (position == std::string::npos)
        return 0;
    return std::strtoull(query.c_str() + position + name.size() + 1, nullptr,
                         10);
}

} // namespace

platform::platform(std::string manifest, std::chrono::milliseconds list_lag)
    : m_manifest(std::move(manifest)), m_published_manifest(m_manifest),
      m_generation(generation_of(m_manifest)), m_list_lag(list_lag)
{
}

void platform::add_to(runtime::http_server& server)
{
    server.set_handler("/v1/manifest", [this](const auto& request)
                       { return manifest(request); });
    server.set_handler("/v1/instances",
                       [this](const auto&) { return instances(); });
    server.set_handler("/control", [this](const auto& request)
                       { return control(request); });
}

runtime::http_reply platform::manifest(const runtime::http_request& request)
{
    const std::uint64_t after = query_number(request.query, "after");
    const std::uint64_t wait_ms =
        std::min<std::uint64_t>(query_number(request.query, "wait_ms"), 60'000);
    std::unique_lock lock(m_mutex);
    ++m_read_count;
    m_changed.wait_for(lock, std::chrono::milliseconds(wait_ms),
                       [&] { return m_generation > after || m_is_down; });
    if (m_is_down)
        return {503, "application/json", "", 0};
    if (m_generation <= after)
        return {204, "application/json", "", 0};
    return {200, "application/json", m_manifest, 0};
}

runtime::http_reply platform::instances()
{
    const std::lock_guard lock(m_mutex);
    ++m_read_count;
    if (m_is_down)
        return {503, "application/json", "", 0};
    json list = json::array();
    const auto visible_until = std::chrono::steady_clock::now() - m_list_lag;
    for (const auto& [id, since] : m_leaving_since)
    {
        if (since <= visible_until)
            list.push_back({{"id", id}, {"state", "leaving"}});
    }
    return {200, "application/json", json{{"instances", list}}.dump(), 0};
}

runtime::http_reply platform::control(const runtime::http_request& request)
{
    const std::lock_guard lock(m_mutex);
    const json message = json::parse(request.body, nullptr, false);
    if (!message.is_object())
        return {200, "application/json", json{{"reads", m_read_count}}.dump(),
                0};
    m_is_down = message.value("down", m_is_down);
    m_is_stale = message.value("stale", m_is_stale);
    if (message.contains("publish"))
        m_published_manifest = message["publish"].dump();
    if (!m_is_stale)
    {
        m_manifest = m_published_manifest;
        m_generation = generation_of(m_manifest);
    }
    if (message.contains("leaving"))
        m_leaving_since.emplace(message["leaving"].get<std::string>(),
                                std::chrono::steady_clock::now());
    if (message.contains("live"))
        m_leaving_since.erase(message["live"].get<std::string>());
    m_changed.notify_all();
    return {};
}

} // namespace mangofold::standins

#include "target.hpp"

#include <nlohmann/json.hpp>

namespace mangofold::standins
{

namespace
{

using nlohmann::json;

std::string attempt_key(const json& message)
{
    return message.value("account", "") + "/" +
           message.value("request_id", "") + "/" + message.value("stage", "") +
           "/" + std::to_string(message.value("attempt", 0));
}

// The output holds the request id, so that a checker detects a result that went
// to another request.
json output_for(const std::string& kind, const json& message)
{
    const std::string id = message.value("request_id", "");
    if (kind == "encoder")
        return {{"vector_for", id}};
    if (kind == "retriever")
        return {{"passages", {"passage 1 for " + id, "passage 2 for " + id}}};
    if (kind == "reranker")
        return {{"passages", {"passage 2 for " + id}}};
    if (kind == "generator")
        return {{"text", "answer for " + id},
                {"used", message["input"].value("previous", json())}};
    return {{"done", kind}, {"for", id}};
}

} // namespace

target::target(std::string id, std::string kind, behaviour initial,
               const std::string& record_file)
    : m_id(std::move(id)), m_kind(std::move(kind)), m_behaviour(initial)
{
    if (!record_file.empty())
        m_record_file.open(record_file, std::ios::app);
}

void target::add_to(runtime::http_server& server)
{
    server.set_handler("/v1/run",
                       [this](const auto& request) { return run(request); });
    server.set_handler("/v1/cancel",
                       [this](const auto& request) { return cancel(request); });
    server.set_handler("/control", [this](const auto& request)
                       { return control(request); });
}

runtime::http_reply target::run(const runtime::http_request& request)
{
    const json message = json::parse(request.body, nullptr, false);
    if (!message.is_object())
        return {400, "application/json", R"({"ran":false})", 0};
    const std::string key = attempt_key(message);
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock,
                       [this] { return m_run_count < m_behaviour.slots; });
        ++m_run_count;
        const auto end = std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(m_behaviour.service_ms) *
                             m_behaviour.slow_factor;
        if (!m_behaviour.is_failing)
            record(
                json{{"at_ms",
                      std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count()},
                     {"target", m_id},
                     {"account", message.value("account", "")},
                     {"request_id", message.value("request_id", "")},
                     {"stage", message.value("stage", "")},
                     {"attempt", message.value("attempt", 0)}}
                    .dump());
        m_changed.wait_until(
            lock, end, [&] { return m_cancelled_attempts.contains(key); });
        m_cancelled_attempts.erase(key);
        --m_run_count;
    }
    m_changed.notify_all();
    if (m_behaviour.is_failing)
        return {500, "application/json", R"({"error":"failing"})", 0};
    const json answer{{"request_id", message.value("request_id", "")},
                      {"stage", message.value("stage", "")},
                      {"target", m_id},
                      {"output", output_for(m_kind, message)}};
    return {200, "application/json", answer.dump(), 0};
}

runtime::http_reply target::cancel(const runtime::http_request& request)
{
    const json message = json::parse(request.body, nullptr, false);
    if (message.is_object())
    {
        const std::lock_guard lock(m_mutex);
        m_cancelled_attempts.insert(attempt_key(message));
    }
    m_changed.notify_all();
    return {};
}

runtime::http_reply target::control(const runtime::http_request& request)
{
    const json message = json::parse(request.body, nullptr, false);
    if (!message.is_object())
        return {400, "application/json", "", 0};
    {
        const std::lock_guard lock(m_mutex);
        m_behaviour.service_ms =
            message.value("service_ms", m_behaviour.service_ms);
        m_behaviour.slow_factor =
            message.value("slow_factor", m_behaviour.slow_factor);
        m_behaviour.is_failing =
            message.value("failing", m_behaviour.is_failing);
    }
    m_changed.notify_all();
    return {};
}

void target::record(const std::string& line)
{
    const std::lock_guard lock(m_record_mutex);
    if (m_record_file.is_open())
        m_record_file << line << std::endl;
}

} // namespace mangofold::standins

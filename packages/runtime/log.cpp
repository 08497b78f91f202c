#include "runtime/log.hpp"

#include "runtime/bounded_sink.hpp"

#include <spdlog/sinks/stdout_sinks.h>

#include <unistd.h>

namespace mangofold::runtime
{

namespace
{

bool set_default(const std::shared_ptr<spdlog::logger>& logger,
                 const std::string& id, const std::string& level)
{
    const auto parsed = spdlog::level::from_str(level);
    if (parsed == spdlog::level::off && level != "off")
        return false;
    logger->set_level(parsed);
    logger->set_pattern(R"({"at":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",)"
                        R"("role":"%n","id":")" +
                        id + R"(",%v})");
    spdlog::set_default_logger(logger);
    return true;
}

} // namespace

bool start_log(const std::string& role, const std::string& id,
               const std::string& level)
{
    auto logger = spdlog::stderr_logger_mt(role);
    logger->flush_on(spdlog::level::info);
    return set_default(logger, id, level);
}

bool start_nonblocking_log(const std::string& role, const std::string& id,
                           const std::string& level)
{
    const auto sink = std::make_shared<bounded_sink>(STDOUT_FILENO);
    return set_default(std::make_shared<spdlog::logger>(role, sink), id, level);
}

} // namespace mangofold::runtime

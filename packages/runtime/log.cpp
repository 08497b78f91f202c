#include "runtime/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>

namespace mangofold::runtime
{

bool start_log(const std::string& role, const std::string& id,
               const std::string& level)
{
    const auto parsed = spdlog::level::from_str(level);
    if (parsed == spdlog::level::off && level != "off")
        return false;
    auto logger = spdlog::stderr_logger_mt(role);
    logger->set_level(parsed);
    logger->set_pattern(R"({"at":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l",)"
                        R"("role":"%n","id":")" +
                        id + R"(",%v})");
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
    return true;
}

} // namespace mangofold::runtime

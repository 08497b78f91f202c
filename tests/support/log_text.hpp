#pragma once

#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>

namespace mangofold::test
{

/// Collects what is logged while it exists.
class log_text
{
public:
    log_text()
    {
        spdlog::set_default_logger(std::make_shared<spdlog::logger>(
            "test", std::make_shared<spdlog::sinks::ostream_sink_st>(m_text)));
    }
    ~log_text() { spdlog::set_default_logger(m_before); }
    log_text(const log_text&) = delete;
    log_text& operator=(const log_text&) = delete;

    std::string text() const { return m_text.str(); }

    bool has(const std::string& part) const
    {
        return m_text.str().find(part) != std::string::npos;
    }

private:
    std::ostringstream m_text;
    std::shared_ptr<spdlog::logger> m_before = spdlog::default_logger();
};

} // namespace mangofold::test

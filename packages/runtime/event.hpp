#pragma once

#include <spdlog/spdlog.h>

#include <string>
#include <string_view>

namespace mangofold::runtime
{

/// Returns \a text escaped for use inside a JSON string. Control characters
/// other than line feeds are removed.
std::string escaped(std::string_view text);

/// One line of the structured log: the members of a JSON object, of which
/// "event" is the name of the event. info(), warn() and error() write it.
class event
{
public:
    explicit event(std::string_view name)
    {
        m_text = "\"event\":\"" + escaped(name) + "\"";
    }

    event& with(std::string_view name, std::string_view value)
    {
        m_text += ",\"" + std::string(name) + "\":\"" + escaped(value) + "\"";
        return *this;
    }

    event& with(std::string_view name, std::uint64_t value)
    {
        m_text += ",\"" + std::string(name) + "\":" + std::to_string(value);
        return *this;
    }

    void info() const { spdlog::info("{}", m_text); }
    void warn() const { spdlog::warn("{}", m_text); }
    void error() const { spdlog::error("{}", m_text); }

private:
    std::string m_text;
};

} // namespace mangofold::runtime

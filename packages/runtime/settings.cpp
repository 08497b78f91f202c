#include "runtime/settings.hpp"

#include <boost/program_options/parsers.hpp>

#include <algorithm>
#include <sstream>

namespace mangofold::runtime
{

namespace po = boost::program_options;

namespace
{

constexpr std::string_view prefix = "MANGOFOLD_";

std::string flag_name(const std::string& variable)
{
    std::string flag = variable.substr(prefix.size());
    std::transform(flag.begin(), flag.end(), flag.begin(),
                   [](unsigned char letter)
                   { return letter == '_' ? '-' : std::tolower(letter); });
    return flag;
}

} // namespace

void settings::read(int argc, const char* const* argv)
{
    const auto known_flag = [this](const std::string& variable)
    {
        if (!variable.starts_with(prefix))
            return std::string();
        const std::string flag = flag_name(variable);
        return m_descriptions.find_nothrow(flag, false) != nullptr
                   ? flag
                   : std::string();
    };
    try
    {
        po::store(po::command_line_parser(argc, argv)
                      .options(m_descriptions)
                      .positional({})
                      .run(),
                  m_values);
        po::store(po::parse_environment(m_descriptions, known_flag), m_values);
        po::notify(m_values);
    }
    catch (const po::error& error)
    {
        throw settings_error(error.what());
    }
}

unsigned settings::number_in_range(const std::string& name, unsigned min,
                                   unsigned max) const
{
    const auto number = value<unsigned>(name);
    if (number < min || number > max)
        throw settings_error("--" + name + " must be between " +
                             std::to_string(min) + " and " +
                             std::to_string(max));
    return number;
}

std::string settings::required_string(const std::string& name) const
{
    if (!has(name) || value<std::string>(name).empty())
        throw settings_error("--" + name + " is missing or empty");
    return value<std::string>(name);
}

std::string settings::help() const
{
    std::ostringstream out;
    out << m_descriptions
        << "\nEach flag can also be set by an environment variable, for "
           "example --http-threads by MANGOFOLD_HTTP_THREADS.\n";
    return out.str();
}

address parse_address_flag(const std::string& name, const std::string& text)
{
    try
    {
        return address::parse(text);
    }
    catch (const address_error& error)
    {
        throw settings_error("--" + name + ": " + error.what());
    }
}

address address_flag(const settings& flags, const std::string& name)
{
    return parse_address_flag(name, flags.required_string(name));
}

} // namespace mangofold::runtime

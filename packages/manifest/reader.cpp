#include "manifest/reader.hpp"

#include <arpa/inet.h>

#include <cmath>

namespace mangofold::manifest
{

namespace
{

constexpr std::size_t max_string_bytes = 256;
constexpr unsigned long max_port = 65535;

bool is_address(const std::string& value)
{
    const std::size_t colon = value.rfind(':');
    if (colon == std::string::npos)
        return false;
    const std::string host = value.substr(0, colon);
    const std::string port = value.substr(colon + 1);
    in_addr parsed{};
    if (inet_pton(AF_INET, host.c_str(), &parsed) != 1)
        return false;
    if (port.empty() || port.size() > 5 ||
        port.find_first_not_of("0123456789") != std::string::npos)
        return false;
    const unsigned long number = std::stoul(port);
    return number > 0 && number <= max_port;
}

} // namespace

reader::reader(const nlohmann::json& object, std::string path,
               std::vector<validation_error>& errors)
    : m_object(object), m_path(std::move(path)), m_errors(errors)
{
    if (!object.is_object())
        m_errors.push_back({m_path, "must be a JSON object"});
}

// If unknown members were accepted, a misspelt optional member would silently
// leave the default value in use.
void reader::report_unknown_members()
{
    if (!m_object.is_object())
        return;
    for (const auto& [name, value] : m_object.items())
    {
        if (!m_known_members.contains(name))
            add_error(name, "is not a known member");
    }
}

const nlohmann::json* reader::member(const char* name, bool is_required)
{
    m_known_members.insert(name);
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(name);
    if (found != m_object.end())
        return &*found;
    if (is_required)
        add_error(name, "is missing");
    return nullptr;
}

std::string reader::string(const char* name)
{
    if (member(name, true) == nullptr)
        return {};
    return optional_string(name);
}

std::string reader::optional_string(const char* name)
{
    const nlohmann::json* value = member(name, false);
    if (value == nullptr)
        return {};
    if (value->is_string() &&
        value->get_ref<const std::string&>().size() <= max_string_bytes)
        return value->get<std::string>();
    add_error(name, "must be a string of at most 256 bytes");
    return {};
}

std::uint64_t reader::unsigned_number(const char* name)
{
    if (member(name, true) == nullptr)
        return 0;
    return optional_unsigned(name, 0);
}

std::uint64_t reader::optional_unsigned(const char* name,
                                        std::uint64_t default_value)
{
    const nlohmann::json* value = member(name, false);
    if (value == nullptr)
        return default_value;
    if (value->is_number_unsigned())
        return value->get<std::uint64_t>();
    add_error(name, "must be a non-negative integer");
    return default_value;
}

double reader::optional_non_negative(const char* name)
{
    const nlohmann::json* value = member(name, false);
    if (value == nullptr)
        return 0;
    if (value->is_number() && value->get<double>() >= 0)
        return value->get<double>();
    add_error(name, "must be a non-negative number");
    return 0;
}

bool reader::optional_bool(const char* name, bool default_value)
{
    const nlohmann::json* value = member(name, false);
    if (value == nullptr)
        return default_value;
    if (value->is_boolean())
        return value->get<bool>();
    add_error(name, "must be true or false");
    return default_value;
}

std::vector<std::string> reader::string_list(const char* name)
{
    if (member(name, true) == nullptr)
        return {};
    return optional_string_list(name);
}

std::vector<std::string> reader::optional_string_list(const char* name)
{
    const nlohmann::json* value = member(name, false);
    std::vector<std::string> values;
    if (value == nullptr)
        return values;
    if (!value->is_array())
    {
        add_error(name, "must be an array of strings");
        return values;
    }
    for (const nlohmann::json& element : *value)
    {
        if (element.is_string())
            values.push_back(element.get<std::string>());
        else
            add_error(name, "must be an array of strings");
    }
    return values;
}

std::string reader::address(const char* name)
{
    std::string value = string(name);
    if (!value.empty() && !is_address(value))
        add_error(name,
                  "must be an IPv4 address and port such as 127.0.0.1:7101");
    return value;
}

void reader::for_each_object(const char* name,
                             const std::function<void(reader&)>& read_item)
{
    const nlohmann::json* value = member(name, true);
    if (value == nullptr)
        return;
    if (!value->is_array())
        return add_error(name, "must be an array of objects");
    std::size_t index = 0;
    for (const nlohmann::json& element : *value)
    {
        reader item(element, m_path + "/" + name + "/" + std::to_string(index),
                    m_errors);
        if (element.is_object())
            read_item(item);
        item.report_unknown_members();
        ++index;
    }
}

void reader::add_error(const std::string& name, const std::string& message)
{
    m_errors.push_back({m_path + "/" + name, message});
}

} // namespace mangofold::manifest

#include "manifest/reader.hpp"

#include <arpa/inet.h>

#include <cmath>

namespace mangofold::manifest
{

namespace
{

constexpr std::size_t longest_text = 256;
constexpr unsigned long highest_port = 65535;

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
    return number > 0 && number <= highest_port;
}

} // namespace

reader::reader(const nlohmann::json& object, std::string path,
               std::vector<fault>& faults)
    : m_object(object), m_path(std::move(path)), m_faults(faults)
{
    if (!object.is_object())
        m_faults.push_back({m_path, "must be an object"});
}

// A misspelt member would silently leave a default in force.
void reader::finish()
{
    if (!m_object.is_object())
        return;
    for (const auto& [name, value] : m_object.items())
    {
        if (!m_read.contains(name))
            add_fault(name, "is not known");
    }
}

const nlohmann::json* reader::member(const char* name, bool is_required)
{
    m_read.insert(name);
    if (!m_object.is_object())
        return nullptr;
    const auto found = m_object.find(name);
    if (found != m_object.end())
        return &*found;
    if (is_required)
        add_fault(name, "is missing");
    return nullptr;
}

std::string reader::text(const char* name)
{
    if (member(name, true) == nullptr)
        return {};
    return optional_text(name);
}

std::string reader::optional_text(const char* name)
{
    const nlohmann::json* value = member(name, false);
    if (value == nullptr)
        return {};
    if (value->is_string() &&
        value->get_ref<const std::string&>().size() <= longest_text)
        return value->get<std::string>();
    add_fault(name, "must be a text of at most 256 bytes");
    return {};
}

std::uint64_t reader::number(const char* name)
{
    if (member(name, true) == nullptr)
        return 0;
    return optional_number(name, 0);
}

std::uint64_t reader::optional_number(const char* name, std::uint64_t otherwise)
{
    const nlohmann::json* value = member(name, false);
    if (value == nullptr)
        return otherwise;
    if (value->is_number_unsigned())
        return value->get<std::uint64_t>();
    add_fault(name, "must be a whole number from 0");
    return otherwise;
}

double reader::optional_real(const char* name)
{
    const nlohmann::json* value = member(name, false);
    if (value == nullptr)
        return 0;
    if (value->is_number() && value->get<double>() >= 0)
        return value->get<double>();
    add_fault(name, "must be a number from 0");
    return 0;
}

bool reader::optional_flag(const char* name, bool otherwise)
{
    const nlohmann::json* value = member(name, false);
    if (value == nullptr)
        return otherwise;
    if (value->is_boolean())
        return value->get<bool>();
    add_fault(name, "must be true or false");
    return otherwise;
}

std::vector<std::string> reader::texts(const char* name)
{
    if (member(name, true) == nullptr)
        return {};
    return optional_texts(name);
}

std::vector<std::string> reader::optional_texts(const char* name)
{
    const nlohmann::json* value = member(name, false);
    std::vector<std::string> all;
    if (value == nullptr)
        return all;
    if (!value->is_array())
    {
        add_fault(name, "must be a list of texts");
        return all;
    }
    for (const nlohmann::json& one : *value)
    {
        if (one.is_string())
            all.push_back(one.get<std::string>());
        else
            add_fault(name, "must be a list of texts");
    }
    return all;
}

std::string reader::address(const char* name)
{
    std::string value = text(name);
    if (!value.empty() && !is_address(value))
        add_fault(name, "must be an address such as 127.0.0.1:7101");
    return value;
}

void reader::objects(const char* name, const std::function<void(reader&)>& read)
{
    const nlohmann::json* value = member(name, true);
    if (value == nullptr)
        return;
    if (!value->is_array())
        return add_fault(name, "must be a list");
    std::size_t index = 0;
    for (const nlohmann::json& one : *value)
    {
        reader item(one, m_path + "/" + name + "/" + std::to_string(index),
                    m_faults);
        if (one.is_object())
            read(item);
        item.finish();
        ++index;
    }
}

void reader::add_fault(const std::string& name, const std::string& text)
{
    m_faults.push_back({m_path + "/" + name, text});
}

} // namespace mangofold::manifest

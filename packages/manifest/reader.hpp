#pragma once

#include "manifest/parse.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace mangofold::manifest
{

/// Reads the members of one JSON object, noting every fault with its path.
class reader
{
public:
    reader(const nlohmann::json& object, std::string path,
           std::vector<fault>& faults);

    reader(const reader&) = delete;
    reader& operator=(const reader&) = delete;

    std::string text(const char* name);
    std::string optional_text(const char* name);
    std::uint64_t number(const char* name);
    std::uint64_t optional_number(const char* name, std::uint64_t otherwise);
    double optional_real(const char* name);
    bool optional_flag(const char* name, bool otherwise);
    std::vector<std::string> optional_texts(const char* name);
    std::vector<std::string> texts(const char* name);

    /// An address "IP:port" with numbers only.
    std::string address(const char* name);

    /// Calls \a read with a reader for each object of the list \a name.
    void objects(const char* name, const std::function<void(reader&)>& read);

    /// Notes the members that nothing has read.
    void finish();

    void add_fault(const std::string& name, const std::string& text);

private:
    const nlohmann::json* member(const char* name, bool is_required);

    const nlohmann::json& m_object;
    std::string m_path;
    std::vector<fault>& m_faults;
    std::set<std::string> m_read;
};

} // namespace mangofold::manifest

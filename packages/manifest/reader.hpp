#pragma once

#include "manifest/parse.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace mangofold::manifest
{

/// Reads the members of one JSON object with checks of their types. An error
/// doesn't end the reading: each is added to a list together with its path, so
/// that operators see all errors of a manifest at once. A member that is
/// missing or has the wrong type reads as its default value.
class reader
{
public:
    reader(const nlohmann::json& object, std::string path,
           std::vector<validation_error>& errors);

    reader(const reader&) = delete;
    reader& operator=(const reader&) = delete;

    std::string string(const char* name);
    std::string optional_string(const char* name);
    std::uint64_t unsigned_number(const char* name);
    std::uint64_t optional_unsigned(const char* name,
                                    std::uint64_t default_value);
    double optional_non_negative(const char* name);
    bool optional_bool(const char* name, bool default_value);
    std::vector<std::string> optional_string_list(const char* name);
    std::vector<std::string> string_list(const char* name);

    /// Returns the address in member \a name: "IP:port", both numeric.
    std::string address(const char* name);

    /// Calls \a read_item with a reader for each object of the array \a name.
    void for_each_object(const char* name,
                         const std::function<void(reader&)>& read_item);

    /// Adds an error for each member that no function has read.
    void report_unknown_members();

    /// Adds an error of member \a name.
    void add_error(const std::string& name, const std::string& message);

private:
    const nlohmann::json* member(const char* name, bool is_required);

    const nlohmann::json& m_object;
    std::string m_path;
    std::vector<validation_error>& m_errors;
    std::set<std::string> m_known_members;
};

} // namespace mangofold::manifest

#pragma once

#include "runtime/address.hpp"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <stdexcept>
#include <string>

namespace mangofold::runtime
{

/// Settings that a process cannot start with.
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;
constexpr int exit_bad_manifest = 3;

/// The flags of a program. Each can also stand in the environment: flag
/// "--http-threads" as MANGOFOLD_HTTP_THREADS. Flags go first.
class settings
{
public:
    explicit settings(const std::string& caption) : m_known(caption) {}

    boost::program_options::options_description& known() { return m_known; }

    /// Reads flags and environment. Throws settings_error.
    void read(int argc, const char* const* argv);

    bool has(const std::string& name) const { return m_values.count(name) > 0; }

    template<typename Value>
    const Value& value(const std::string& name) const
    {
        return m_values[name].as<Value>();
    }

    /// Returns a number between two bounds. Throws settings_error.
    unsigned bounded(const std::string& name, unsigned least,
                     unsigned most) const;

    /// Returns a text that must be there. Throws settings_error.
    std::string required_text(const std::string& name) const;

    /// Returns the description of every flag.
    std::string help() const;

private:
    boost::program_options::options_description m_known;
    boost::program_options::variables_map m_values;
};

/// Returns \a text as the address of flag \a name. Throws settings_error.
address parse_flag(const std::string& name, const std::string& text);

/// Returns the address in flag \a name. Throws settings_error.
address address_flag(const settings& flags, const std::string& name);

} // namespace mangofold::runtime

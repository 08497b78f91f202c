#pragma once

#include "runtime/address.hpp"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include <stdexcept>
#include <string>

namespace mangofold::runtime
{

/// Thrown for settings that a program cannot start with.
class settings_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

constexpr int exit_ok = 0;
constexpr int exit_failed = 1;
constexpr int exit_bad_settings = 2;
constexpr int exit_bad_manifest = 3;

/// The command-line flags of a program. Each flag can also be set by an
/// environment variable: --http-threads by MANGOFOLD_HTTP_THREADS. The command
/// line takes precedence.
class settings
{
public:
    explicit settings(const std::string& caption) : m_descriptions(caption) {}

    /// Returns the descriptions of the flags, to which a program adds its own.
    boost::program_options::options_description& descriptions()
    {
        return m_descriptions;
    }

    /// Reads the command line and the environment. Throws settings_error.
    void read(int argc, const char* const* argv);

    /// Whether flag \a name is set or has a default value.
    bool has(const std::string& name) const { return m_values.count(name) > 0; }

    /// Returns the value of flag \a name, which must be set.
    template<typename Value>
    const Value& value(const std::string& name) const
    {
        return m_values[name].as<Value>();
    }

    /// Returns the value of flag \a name. Throws settings_error unless the
    /// value is between \a min and \a max, both included.
    unsigned number_in_range(const std::string& name, unsigned min,
                             unsigned max) const;

    /// Returns the text of flag \a name. Throws settings_error if the text is
    /// missing or empty.
    std::string required_string(const std::string& name) const;

    /// Returns the help text with the description of every flag.
    std::string help() const;

private:
    boost::program_options::options_description m_descriptions;
    boost::program_options::variables_map m_values;
};

/// Returns the address in \a text. Throws settings_error, which names flag
/// \a name, if the text is not a valid address.
address parse_address_flag(const std::string& name, const std::string& text);

/// Returns the address in flag \a name. Throws settings_error if the address is
/// missing or invalid.
address address_flag(const settings& flags, const std::string& name);

} // namespace mangofold::runtime

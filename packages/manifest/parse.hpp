#pragma once

#include "manifest/manifest.hpp"

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace mangofold::manifest
{

/// An error in a manifest.
struct validation_error
{
    std::string path;    ///< JSON pointer to the invalid member.
    std::string message; ///< The problem, worded to follow the path.

    friend bool operator==(const validation_error&,
                           const validation_error&) = default;
};

/// Thrown for an invalid manifest. what() lists all errors found, one a line.
class manifest_error : public std::runtime_error
{
public:
    explicit manifest_error(std::vector<validation_error> errors);

    const std::vector<validation_error>& errors() const { return m_errors; }

private:
    std::vector<validation_error> m_errors;
};

/// Returns the manifest in the JSON text \a text, validated, without the
/// targets of evacuated zones. Throws manifest_error.
document parse(std::string_view text);

} // namespace mangofold::manifest

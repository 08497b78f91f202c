#pragma once

#include "manifest/manifest.hpp"

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace mangofold::manifest
{

/// One fault of a manifest: where, as a JSON pointer, and what.
struct fault
{
    std::string path;
    std::string text;

    friend bool operator==(const fault&, const fault&) = default;
};

/// A manifest that cannot be put in force, with every fault found.
class manifest_error : public std::runtime_error
{
public:
    explicit manifest_error(std::vector<fault> faults);

    const std::vector<fault>& faults() const { return m_faults; }

private:
    std::vector<fault> m_faults;
};

/// Returns the manifest in \a text, checked as a whole. Throws
/// manifest_error.
document parse(std::string_view text);

} // namespace mangofold::manifest

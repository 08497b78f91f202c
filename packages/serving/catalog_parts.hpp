#pragma once

#include "serving/frame_socket.hpp"

#include <memory>
#include <optional>
#include <string>

namespace mangofold::serving
{

/// Returns what sends the catalog in \a text in parts.
frame_socket::part_source
catalog_parts(std::shared_ptr<const std::string> text);

/// Puts the parts of a catalog together.
class catalog_collector
{
public:
    /// Takes the next part. Returns the whole text with the last one; a part
    /// that does not go on from those before is dropped with them.
    std::optional<std::string> add(const peer::CatalogPart& part);

private:
    std::string m_text;
};

} // namespace mangofold::serving

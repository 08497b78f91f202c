#pragma once

#include "serving/frame_socket.hpp"

#include <memory>
#include <optional>
#include <string>

namespace mangofold::serving
{

/// Returns a source of frames that sends the serialized catalog \a text in
/// parts, so that a large catalog does not delay urgent frames on the link.
frame_socket::part_source
catalog_part_source(std::shared_ptr<const std::string> text);

/// Reassembles a serialized catalog that another entry sends in parts.
class catalog_assembler
{
public:
    /// Appends the next part. Returns the whole text after the last part. A
    /// part that does not continue the previous ones is discarded together with
    /// them.
    std::optional<std::string> add(const peer::CatalogPart& part);

private:
    std::string m_text;
};

} // namespace mangofold::serving

#include "serving/catalog_parts.hpp"

#include <algorithm>
#include <utility>

namespace mangofold::serving
{

namespace
{

/// Size of one part. An urgent frame waits for at most one part to be sent,
/// which takes 13 ms on a link of 10 Mbit/s.
constexpr std::size_t part_bytes = 16 << 10;

/// Largest catalog accepted from another entry. Catalogs in the configuration
/// source are much smaller; a message that announces a larger one would only
/// exhaust the memory.
constexpr std::uint64_t max_catalog_bytes = 32 << 20;

} // namespace

frame_socket::part_source
catalog_part_source(std::shared_ptr<const std::string> text)
{
    return [text = std::move(text),
            offset = std::size_t{0}](peer::Frame& frame) mutable
    {
        if (offset >= text->size())
            return false;
        peer::CatalogPart& part = *frame.mutable_catalog_part();
        part.set_size(text->size());
        part.set_offset(offset);
        part.set_text(text->substr(offset, part_bytes));
        offset += part.text().size();
        return true;
    };
}

std::optional<std::string> catalog_assembler::add(const peer::CatalogPart& part)
{
    if (part.offset() == 0)
        m_text.clear();
    const std::uint64_t end = part.offset() + part.text().size();
    if (part.offset() != m_text.size() || part.size() > max_catalog_bytes ||
        end > part.size())
    {
        m_text.clear();
        return std::nullopt;
    }
    m_text += part.text();
    if (end < part.size() || m_text.empty())
        return std::nullopt;
    return std::exchange(m_text, {});
}

} // namespace mangofold::serving

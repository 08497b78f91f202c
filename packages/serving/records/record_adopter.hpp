#pragma once

#include "decision/streams/record_adoption.hpp"
#include "serving/stream_registry.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mangofold::serving
{

/// Reads the records of some record keepers, so that an entry owns them that
/// others have placed there and were lost.
class record_adopter
{
public:
    record_adopter(entry_context& context, stream_channel& channel,
                   decision::origin_records& records)
        : m_context(context), m_channel(channel), m_records(records)
    {
    }

    /// Asks the record keepers that are due.
    void maintain();

    /// Adopts the records that the record keeper at \a address has sent.
    void handle(const std::string& address, const peer::StreamOrigins& message);

    /// Returns the records whose copies are to be placed now.
    std::vector<decision::stream_key> take_unplaced()
    {
        return m_adoption.take_unplaced(m_context.now());
    }

    /// Whether the copies of the record of \a key are still to be placed.
    bool is_unplaced(const decision::stream_key& key) const
    {
        return m_adoption.is_unplaced(key);
    }

private:
    void ask();
    void log_adopted();

    entry_context& m_context;
    stream_channel& m_channel;
    decision::origin_records& m_records;
    decision::record_adoption m_adoption;
    std::optional<instant> m_started_at;
    /// Number of records by keeper since the last log line.
    std::map<std::string, std::size_t> m_adopted;
    std::size_t m_adopted_in_all = 0;
    std::optional<instant> m_logged_at;
};

} // namespace mangofold::serving

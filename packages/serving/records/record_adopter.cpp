#include "serving/records/record_adopter.hpp"

#include "runtime/event.hpp"
#include "serving/stream_messages.hpp"

#include <utility>

namespace mangofold::serving
{

namespace
{

constexpr duration log_interval = std::chrono::seconds(1);

} // namespace

// An entry that does not know the others yet would read the keepers of all.
void record_adopter::maintain()
{
    if (!m_started_at)
        m_started_at = m_context.now();
    log_adopted();
    m_context.metrics.set_gauge({"stream_origins_adopted", {}},
                                static_cast<double>(m_adopted_in_all));
    m_context.metrics.set_gauge({"stream_origins_unplaced", {}},
                                static_cast<double>(m_adoption.unplaced()));
    if (!m_channel.is_fleet_known())
        return;
    m_adoption.set_processes(m_context.settings.announced_address.text(),
                             m_channel.stream_keepers(),
                             m_channel.record_keepers());
    m_adoption.retain_unplaced(
        [this](const decision::stream_key& key)
        { return m_records.find(key, m_context.now()) != nullptr; });
    ask();
}

// A question counts as no message that calls for a reply: record keepers of
// earlier versions of this program do not know it.
void record_adopter::ask()
{
    for (const auto& due : m_adoption.take_due(m_context.now()))
    {
        peer::Frame frame;
        peer::RecordsQuestion& question = *frame.mutable_records_question();
        question.set_after(due.after);
        for (std::string& successor : m_channel.successors_of(due.keeper))
            question.add_successors(std::move(successor));
        m_channel.send(due.keeper, frame);
    }
}

void record_adopter::handle(const std::string& address,
                            const peer::StreamOrigins& message)
{
    const instant now = m_context.now();
    const std::size_t known_before = m_records.size();
    for (const peer::StreamOrigin& received : message.origins())
    {
        const auto known = read_stream_origin(received, now);
        const decision::stream_key key = read_stream_key(received);
        if (!known)
            continue;
        m_context.versions.note_stream(known->origin, known->began_at);
        if (m_records.adopt(key, *known, address, m_started_at.value_or(now)))
            m_adoption.note_unplaced(key);
    }
    if (const std::size_t known = m_records.size(); known > known_before)
    {
        m_adopted[address] += known - known_before;
        m_adopted_in_all += known - known_before;
    }
    m_adoption.note_reply(address, message.born(), message.next(),
                          static_cast<std::size_t>(message.origins_size()),
                          now);
    ask();
}

void record_adopter::log_adopted()
{
    const instant now = m_context.now();
    if (m_adopted.empty() || (m_logged_at && now < *m_logged_at + log_interval))
        return;
    m_logged_at = now;
    std::size_t total = 0;
    std::string keepers;
    for (const auto& [address, count] : std::exchange(m_adopted, {}))
    {
        total += count;
        keepers += (keepers.empty() ? "" : " ") + address;
    }
    runtime::event("records_adopted")
        .with("records", total)
        .with("keepers", keepers)
        .with("unplaced", m_adoption.unplaced())
        .info();
}

} // namespace mangofold::serving

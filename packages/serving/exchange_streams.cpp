#include "runtime/event.hpp"
#include "serving/exchange.hpp"

namespace mangofold::serving
{

void exchange::record_stream_version()
{
    const bool is_continued = m_stream_version.has_value();
    const bool is_taken_up = !m_metadata.last_event_id.empty();
    const std::string_view how = is_continued  ? "continued"
                                 : is_taken_up ? "taken_up"
                                               : "begun";
    m_context.count("streams", "how", how);
    if (is_continued && *m_stream_version != m_target_version)
        m_context.count("streams_mixed", "how", how);
    runtime::event("stream_" + std::string(how))
        .with("request", m_metadata.id)
        .with("resumes", m_metadata.resumed_request)
        .with("after", m_metadata.last_event_id)
        .with("target", m_last_target.id)
        .with("born", m_last_target.started_ms)
        .with("version", m_target_version)
        .with("before", m_stream_version.value_or(""))
        .info();
    m_stream_version = m_target_version;
}

} // namespace mangofold::serving

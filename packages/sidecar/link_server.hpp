#pragma once

#include "configuration/config_store.hpp"
#include "runtime/address.hpp"
#include "runtime/child.hpp"
#include "sidecar/gate_keeper.hpp"
#include "sidecar/result_sink.hpp"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mangofold::sidecar
{

class entry_stream;

/// Serves the streams of the entries.
class link_server : public runtime::child, public result_sink
{
public:
    link_server(runtime::address listen, std::string target,
                gate_keeper& keeper, configuration::config_store& store,
                runtime::metrics& counters);
    ~link_server() override;

    const std::string& name() const override { return m_name; }
    void start() override;
    void stop() noexcept override;
    bool has_failed() const override { return false; }

    void tell_end(const decision::target_crash& one) override;
    void send(const decision::send_result& result,
              const decision::target_load& load) override;

    /// Sends a fresh grant, with the load, to every entry.
    void renew_grants();

    /// Tells every entry the generation in force.
    void announce_generation();

    std::size_t link_count() const;

    /// Whether every result sent so far left.
    bool is_flushed() const;

private:
    friend class entry_stream;
    class service;

    using stream_ptr = std::shared_ptr<entry_stream>;

    stream_ptr open_stream();
    void stream_named(entry_stream& stream, const std::string& entry);
    void stream_closed(entry_stream& stream);
    std::vector<std::shared_ptr<entry_stream>> named_streams() const;
    static void send_end(entry_stream& stream,
                         const decision::target_crash& one,
                         decision::instant now);
    void send_grant(entry_stream& stream);

    std::string m_name = "link_server";
    runtime::address m_listen;
    std::string m_target;
    /// Ends remembered for entries to come.
    static constexpr std::size_t most_ends = 256;

    gate_keeper& m_keeper;
    configuration::config_store& m_store;
    runtime::metrics& m_metrics;
    std::unique_ptr<service> m_service;
    mutable std::mutex m_mutex;
    std::map<decision::link_id, stream_ptr> m_streams;
    std::map<std::string, decision::link_id> m_by_entry;
    decision::link_id m_next_link = 1;
    std::deque<decision::target_crash> m_ends;
};

} // namespace mangofold::sidecar

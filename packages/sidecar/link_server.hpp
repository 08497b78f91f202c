#pragma once

#include "configuration/config_store.hpp"
#include "runtime/address.hpp"
#include "runtime/child.hpp"
#include "sidecar/admission_controller.hpp"
#include "sidecar/result_sink.hpp"

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace mangofold::sidecar
{

class entry_stream;

/// gRPC server for the streams of the entries. Sends grants, results, target
/// crashes and the generation of the manifest to the entries.
class link_server : public runtime::child, public result_sink
{
public:
    link_server(runtime::address listen, std::string target,
                admission_controller& admission,
                configuration::config_store& store, runtime::metrics& counters);
    ~link_server() override;

    const std::string& name() const override { return m_name; }
    void start() override;
    void stop() noexcept override;
    bool has_failed() const override { return false; }

    void report_target_crash(const decision::target_crash& crash) override;
    void send(const decision::send_result& result,
              const decision::target_load& load) override;

    /// Sends a new grant, with the load of the target, to every entry.
    void renew_grants();

    /// Sends the generation of the manifest in force to every entry.
    void announce_generation();

    /// Returns the number of open streams.
    std::size_t link_count() const;

    /// Whether all results sent so far were passed to the network.
    bool is_flushed() const;

private:
    friend class entry_stream;
    class service;

    using stream_ptr = std::shared_ptr<entry_stream>;

    stream_ptr open_stream();
    void identify_stream(entry_stream& stream, const std::string& entry_id);
    void remove_stream(entry_stream& stream);
    std::vector<std::shared_ptr<entry_stream>> identified_streams() const;
    static void send_crash(entry_stream& stream,
                           const decision::target_crash& crash,
                           decision::instant now);
    void send_grant(entry_stream& stream);

    std::string m_name = "link_server";
    runtime::address m_listen;
    std::string m_target;
    /// Target crashes stored for entries that connect later.
    static constexpr std::size_t max_crashes = 256;

    admission_controller& m_admission;
    configuration::config_store& m_store;
    runtime::metrics& m_metrics;
    std::unique_ptr<service> m_service;
    mutable std::mutex m_mutex;
    std::map<decision::link_id, stream_ptr> m_streams;
    std::map<std::string, decision::link_id> m_links_by_entry;
    decision::link_id m_next_link = 1;
    std::deque<decision::target_crash> m_crashes;
};

} // namespace mangofold::sidecar

#pragma once

#include "sidecar/link_server.hpp"
#include "wire/batch_stream.hpp"

#include "link.grpc.pb.h"

#include <memory>

namespace mangofold::sidecar
{

/// The sidecar's end of the stream of one entry.
class entry_stream
    : public wire::batch_stream<
          grpc::ServerBidiReactor<wire::EntryBatch, wire::SidecarBatch>,
          wire::EntryBatch, wire::SidecarBatch>,
      public std::enable_shared_from_this<entry_stream>
{
public:
    entry_stream(link_server& owner, decision::link_id link)
        : m_owner(owner), m_link(link)
    {
    }

    /// Begins to read. Called once the server knows the stream.
    void open();

    /// Ends the stream from this side.
    void end() { close(); }

    decision::link_id link() const { return m_link; }
    const std::string& entry() const { return m_entry; }
    void set_entry(const std::string& entry) { m_entry = entry; }

    /// Whether the entry has said who it is.
    bool is_named() const { return !m_entry.empty(); }

    /// Sends \a message with the generation in force.
    void send_stamped(wire::SidecarMessage message);

    void OnDone() override { m_self.reset(); }

protected:
    void received(const wire::EntryMessage& message) override;
    void closed() override;

private:
    void submitted(const wire::Submit& message, std::uint64_t generation);
    void generation_heard(std::uint64_t generation);
    void config_wanted();
    void mint_wanted(const wire::Mint& message);

    link_server& m_owner;
    decision::link_id m_link;
    std::string m_entry;
    std::shared_ptr<entry_stream> m_self; ///< Until the stream is done.
};

} // namespace mangofold::sidecar

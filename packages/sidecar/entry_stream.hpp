#pragma once

#include "sidecar/link_server.hpp"
#include "wire/batch_stream.hpp"

#include "link.grpc.pb.h"

#include <memory>

namespace mangofold::sidecar
{

/// The server side of the bidirectional gRPC stream between an entry and this
/// sidecar. Passes the entry's messages to the admission control and the
/// configuration store.
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

    /// Starts reading. Called after the server has registered the stream.
    void open();

    /// Closes the stream from the side of the sidecar.
    void end() { close(); }

    decision::link_id link() const { return m_link; }
    const std::string& entry_id() const { return m_entry_id; }
    void set_entry_id(const std::string& id) { m_entry_id = id; }

    /// Whether the entry has sent its ID in a Hello message.
    bool is_identified() const { return !m_entry_id.empty(); }

    /// Sends \a message with the generation of the manifest in force.
    void send_with_generation(wire::SidecarMessage message);

    void OnDone() override { m_self.reset(); }

protected:
    void handle_message(const wire::EntryMessage& message) override;
    void handle_close() override;

private:
    void handle_submit(const wire::Submit& message, std::uint64_t generation);
    void request_newer_manifest(std::uint64_t generation);
    void send_manifest();
    void handle_mint(const wire::Mint& message);

    link_server& m_owner;
    decision::link_id m_link;
    std::string m_entry_id;
    std::shared_ptr<entry_stream>
        m_self; ///< Keeps the stream alive until OnDone().
};

} // namespace mangofold::sidecar

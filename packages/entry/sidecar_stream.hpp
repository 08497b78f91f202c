#pragma once

#include "wire/batch_stream.hpp"

#include "link.grpc.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace mangofold::entry
{

/// The client side of the bidirectional gRPC stream from an entry to a sidecar.
class sidecar_stream
    : public wire::batch_stream<
          grpc::ClientBidiReactor<wire::EntryBatch, wire::SidecarBatch>,
          wire::SidecarBatch, wire::EntryBatch>,
      public std::enable_shared_from_this<sidecar_stream>
{
public:
    using message_handler = std::function<void(const wire::SidecarMessage&)>;
    using close_handler = std::function<void()>;

    sidecar_stream(message_handler on_message, close_handler on_closed)
        : m_on_message(std::move(on_message)), m_on_closed(std::move(on_closed))
    {
    }

    /// Opens the stream to the sidecar at \a address.
    void open(const std::string& address);

    /// Cancels the stream from the side of the entry.
    void cancel();

    void OnDone(const grpc::Status&) override { m_self.reset(); }

protected:
    void handle_message(const wire::SidecarMessage& message) override
    {
        m_on_message(message);
    }

    void handle_close() override;

private:
    message_handler m_on_message;
    close_handler m_on_closed;
    std::unique_ptr<wire::Link::Stub> m_stub;
    grpc::ClientContext m_context;
    std::shared_ptr<sidecar_stream>
        m_self; ///< Keeps the stream alive until OnDone().
};

} // namespace mangofold::entry

#include "wire/callback_threads.hpp"

#include "link.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <memory>

namespace mangofold::wire
{

namespace
{

class permanent_call : public grpc::ClientBidiReactor<EntryBatch, SidecarBatch>
{
public:
    permanent_call()
        : m_channel(grpc::CreateChannel("ipv4:127.0.0.1:1",
                                        grpc::InsecureChannelCredentials())),
          m_stub(Link::NewStub(m_channel))
    {
        m_stub->async()->Attach(&m_context, this);
        StartCall();
        m_context.TryCancel();
    }

    void OnDone(const grpc::Status&) override {}

private:
    std::shared_ptr<grpc::Channel> m_channel;
    std::unique_ptr<Link::Stub> m_stub;
    grpc::ClientContext m_context;
};

} // namespace

// gRPC stops its callback threads when the last channel is destroyed and
// starts them again for the next one. If the last channel is destroyed while
// one of its callbacks still runs, the process aborts with a failed assertion
// (ref_counted.h, prior > 0); this happened to an entry whose sidecars all
// disconnected at once. A channel that was used once and is never destroyed
// keeps the threads alive.
void keep_callback_threads()
{
    static const auto* const call = new permanent_call;
    static_cast<void>(call);
}

} // namespace mangofold::wire

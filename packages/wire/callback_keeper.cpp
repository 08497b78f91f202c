#include "wire/callback_keeper.hpp"

#include "link.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <memory>

namespace mangofold::wire
{

namespace
{

class callback_keeper : public grpc::ClientBidiReactor<EntryBatch, SidecarBatch>
{
public:
    callback_keeper()
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

// The library ends its callback threads with the last channel and starts
// them again with the next. Where the last channel goes while a callback of
// it still runs, the process dies of a failed assertion (ref_counted.h,
// prior > 0): an entry whose sidecars all went away at once died so. One
// channel that was used once and is never destroyed holds the threads.
void keep_callback_threads()
{
    static const auto* const kept = new callback_keeper;
    static_cast<void>(kept);
}

} // namespace mangofold::wire

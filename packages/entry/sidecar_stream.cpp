#include "entry/sidecar_stream.hpp"

#include "wire/callback_threads.hpp"

#include <grpcpp/grpcpp.h>

namespace mangofold::entry
{

namespace
{

constexpr int min_reconnect_ms = 50;
constexpr int max_reconnect_ms = 1000;

} // namespace

void sidecar_stream::open(const std::string& address)
{
    wire::keep_callback_threads();
    grpc::ChannelArguments arguments;
    // With the process-wide subchannel pool, a new stream would share the
    // connection that the previous stream found dead.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, min_reconnect_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, max_reconnect_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_ms);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    m_stub = wire::Link::NewStub(grpc::CreateCustomChannel(
        "ipv4:" + address, grpc::InsecureChannelCredentials(), arguments));
    m_self = shared_from_this();
    m_stub->async()->Attach(&m_context, this);
    AddHold();
    start_reading();
    StartCall();
}

void sidecar_stream::cancel()
{
    m_context.TryCancel();
    close();
}

void sidecar_stream::handle_close()
{
    m_context.TryCancel();
    m_on_closed();
    RemoveHold();
}

} // namespace mangofold::entry

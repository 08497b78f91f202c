#pragma once

namespace mangofold::wire
{

/// Keeps the gRPC library's callback threads up until the process ends. To
/// be called before a channel or a server is made.
void keep_callback_threads();

} // namespace mangofold::wire

#pragma once

namespace mangofold::wire
{

/// Keeps the gRPC library's callback threads alive until the process ends.
/// Must be called before any channel or server is created.
void keep_callback_threads();

} // namespace mangofold::wire

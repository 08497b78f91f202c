#pragma once

namespace mangofold::runtime
{

/// Whether \a status is that of an answer before the final one. 101 is none:
/// what follows it is not HTTP.
constexpr bool is_interim_status(unsigned status)
{
    return status == 100 || (status >= 102 && status < 200);
}

/// Whether \a status is that of a final answer. HTTP defines none above 599.
constexpr bool is_final_status(unsigned status)
{
    return status >= 200 && status < 600;
}

} // namespace mangofold::runtime

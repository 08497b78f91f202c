#include "serving/asio.hpp"

#include "runtime/event.hpp"

namespace mangofold::serving
{

void log_failure(const std::exception_ptr& fault)
{
    try
    {
        std::rethrow_exception(fault);
    }
    catch (const std::exception& exception)
    {
        runtime::event("work_failed").with("fault", exception.what()).error();
    }
}

} // namespace mangofold::serving

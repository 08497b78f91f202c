#include "serving/elected_maker.hpp"

namespace mangofold::serving
{

void elected_maker::make(const std::string& service, decision::piece_job job,
                         piece_wait_ptr wait)
{
    m_own.add(
        service, std::move(job),
        [wait](piece_outcome value)
        {
            const bool is_wanted = !wait->is_dropped();
            wait->set_outcome(std::move(value));
            return is_wanted;
        },
        [wait] { return !wait->is_dropped(); });
}

void elected_maker::release(const std::string& service,
                            std::vector<std::string> handles)
{
    m_own.release(service, handles);
}

} // namespace mangofold::serving

#pragma once

#include "serving/gatherer.hpp"
#include "serving/piece_maker.hpp"

namespace mangofold::serving
{

/// Has pieces made by the entry that gathers their service.
class elected_maker : public piece_maker
{
public:
    elected_maker(entry_context& context, gatherer& own)
        : m_context(context), m_own(own)
    {
    }

    void make(const std::string& service, decision::piece_job job,
              piece_wait_ptr wait) override;
    void release(const std::string& service,
                 std::vector<std::string> handles) override;

private:
    entry_context& m_context;
    gatherer& m_own;
};

} // namespace mangofold::serving

#include "decision/streams/stream_origin.hpp"

#include "decision/request_content.hpp"

namespace mangofold::decision
{

stream_key make_stream_key(std::string_view account, std::string_view host,
                           std::string_view path, std::string_view request_id)
{
    return digest_of(request_content{account, {}, host, path, request_id});
}

} // namespace mangofold::decision

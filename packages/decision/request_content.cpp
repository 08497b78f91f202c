#include "decision/request_content.hpp"

namespace mangofold::decision
{

digest digest_of(const request_content& content)
{
    std::string encoded;
    for (const std::string_view part :
         {content.account, content.method, content.host, content.target})
    {
        encoded += std::to_string(part.size());
        encoded += ':';
        encoded += part;
    }
    return digest_of(encoded, content.body);
}

digest stage_content_digest(const request_key& key, const digest& request)
{
    return digest_of(
        request_content{key.account, key.stage, {}, {}, to_text(request)});
}

} // namespace mangofold::decision

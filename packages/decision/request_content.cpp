#include "decision/request_content.hpp"

namespace mangofold::decision
{

digest digest_of(const request_content& content)
{
    std::string text;
    for (const std::string_view part :
         {content.account, content.method, content.host, content.target})
    {
        text += std::to_string(part.size());
        text += ':';
        text += part;
    }
    return digest_of(text, content.body);
}

digest stage_content(const request_key& key, const digest& request)
{
    return digest_of(
        request_content{key.account, key.stage, {}, {}, to_text(request)});
}

} // namespace mangofold::decision

#pragma once

#include "serving/asio.hpp"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace mangofold::serving
{

namespace http = boost::beast::http;

using http_fields = http::fields;
using http_request = http::request<http::string_body>;
using http_answer = http::response<http::string_body>;
using http_answer_head = http::response_header<>;

inline std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns the bytes of a request, whole, with its length. \a host is named
/// where the request names none.
std::string to_bytes(const http_request& request, const std::string& host);

/// Returns the bytes of an answer's first line and \a fields.
std::string head_bytes(unsigned status, const http_fields& fields);

/// Whether \a name concerns one connection only and must not be passed on.
bool is_of_connection(std::string_view name);

/// Returns the lower-case text.
std::string lower(std::string_view text);

} // namespace mangofold::serving

#pragma once

#include "serving/http.hpp"

#include <boost/optional/optional.hpp>

#include <cstdint>
#include <string>

namespace mangofold::serving
{

/// Body of a message that is being received, like http::string_body, but takes
/// memory only for bytes that have arrived, not for an announced length. What
/// was reserved in the body before stays there.
struct received_body
{
    using value_type = std::string;

    /// Appends the received bytes to a body.
    class reader
    {
    public:
        template<bool IsRequest, typename Fields>
        reader(http::header<IsRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t>&,
                  boost::system::error_code& fault)
        {
            fault = {};
        }

        template<typename Buffers>
        std::size_t put(const Buffers& buffers,
                        boost::system::error_code& fault)
        {
            fault = {};
            std::size_t count = 0;
            for (const auto& buffer : boost::beast::buffers_range_ref(buffers))
            {
                m_body.append(static_cast<const char*>(buffer.data()),
                              buffer.size());
                count += buffer.size();
            }
            return count;
        }

        void finish(boost::system::error_code& fault) { fault = {}; }

    private:
        value_type& m_body;
    };
};

} // namespace mangofold::serving

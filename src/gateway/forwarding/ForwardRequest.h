#pragma once

#include "common/Time.h"
#include "gateway/forwarding/HeaderNames.h"

#include <boost/beast/http.hpp>

#include <string>
#include <string_view>

namespace gwt {

using WireRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// \brief A caller's request in the form in which it goes to backend servers.
///
/// The part of the head that all sends share is built once.
class ForwardRequest
{
public:
    ForwardRequest(const WireRequest &request, const HeaderNames &names);

    /// \brief The message for one send: what is left of the time, and who may run it.
    std::string message(Milliseconds timeLeft, std::string_view backendId) const;

    const std::string &id() const { return m_id; }
    bool isHead() const { return m_isHead; }

private:
    const HeaderNames &m_names;
    std::string m_id;
    std::string m_head;
    std::string m_body;
    bool m_isHead;
};

/// \brief True for a field that concerns only one connection and is not passed on.
bool isHopField(std::string_view name, std::string_view connectionField);

} // namespace gwt

#include "gateway/forwarding/ForwardRequest.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>

namespace gwt {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::array<std::string_view, 11> hopByHopFields{"Connection",
                                                          "Keep-Alive",
                                                          "Proxy-Connection",
                                                          "Proxy-Authenticate",
                                                          "TE",
                                                          "Trailer",
                                                          "Transfer-Encoding",
                                                          "Upgrade",
                                                          "Expect",
                                                          "Proxy-Authorization",
                                                          "Content-Length"};

beast::string_view view(std::string_view text)
{
    return {text.data(), text.size()};
}

void appendField(std::string &head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

bool isHopByHopField(std::string_view name, std::string_view connectionField)
{
    const bool isListed = std::any_of(hopByHopFields.begin(), hopByHopFields.end(), [&](auto hop) {
        return beast::iequals(view(hop), view(name));
    });
    return isListed
        || (!connectionField.empty() && http::token_list(view(connectionField)).exists(view(name)));
}

ForwardRequest::ForwardRequest(const WireRequest &request, const HeaderNames &names,
                               const std::optional<std::string> &team)
    : m_names(names)
    , m_id(request.field(names.requestId))
    , m_body(request.body)
    , m_isHeadRequest(request.method == "HEAD")
{
    const std::string_view connection = request.field("Connection");
    m_head.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const auto &[name, value] : request.fields) {
        const bool isSetPerAttempt = beast::iequals(view(name), names.deadline)
            || beast::iequals(view(name), names.targetServer);
        const bool identifiesCaller = beast::iequals(view(name), names.authorization)
            || beast::iequals(view(name), names.team);
        const bool isDropped = isSetPerAttempt || (team && identifiesCaller);
        if (!isDropped && !isHopByHopField(name, connection))
            appendField(m_head, name, value);
    }
    if (team && !team->empty())
        appendField(m_head, names.team, *team);
    if (request.hasBody)
        appendField(m_head, "Content-Length", std::to_string(m_body.size()));
}

std::shared_ptr<const ForwardRequest> ForwardRequest::withoutMessage() const
{
    return std::shared_ptr<const ForwardRequest>(
        new ForwardRequest(m_names, m_id, m_isHeadRequest));
}

std::string ForwardRequest::serialize(Milliseconds timeLeft, std::string_view backendId) const
{
    std::string text;
    text.reserve(m_head.size() + m_body.size() + 96);
    text.append(m_head);
    appendField(text, m_names.deadline,
                std::to_string(std::max<std::int64_t>(1, timeLeft.count())));
    appendField(text, m_names.targetServer, backendId);
    return text.append("\r\n").append(m_body);
}

} // namespace gwt

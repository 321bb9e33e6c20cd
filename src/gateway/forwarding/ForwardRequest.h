#pragma once

#include "common/Time.h"
#include "gateway/forwarding/HeaderNames.h"
#include "http/WireRequest.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace gwt {

/// \brief Serializes a caller's request for backend servers.
///
/// The part of the head that all attempts share is built once.
class ForwardRequest
{
public:
    /// \brief \a team is the name of the caller's team, or empty for an anonymous caller; the
    /// fields with which the caller identifies itself are dropped. Without a value they are
    /// forwarded.
    ForwardRequest(const WireRequest &request, const HeaderNames &names,
                   const std::optional<std::string> &team = std::nullopt);

    /// \brief Returns the HTTP message of one attempt at \a backendId, with the time left.
    std::string serialize(Milliseconds timeLeft, std::string_view backendId) const;

    /// \brief This request without what is sent, for an attempt that has been sent and continues
    /// after its caller was answered.
    std::shared_ptr<const ForwardRequest> withoutMessage() const;

    const std::string &id() const { return m_id; }
    bool isHeadRequest() const { return m_isHeadRequest; }

private:
    ForwardRequest(const HeaderNames &names, std::string id, bool isHeadRequest)
        : m_names(names)
        , m_id(std::move(id))
        , m_isHeadRequest(isHeadRequest)
    { }

    const HeaderNames &m_names;
    std::string m_id;
    std::string m_head;
    std::string m_body;
    bool m_isHeadRequest;
};

/// \brief True for a hop-by-hop header field, which is not forwarded.
///
/// \a connectionField is the value of the Connection field, which may name further ones.
bool isHopByHopField(std::string_view name, std::string_view connectionField);

} // namespace gwt

#pragma once

#include "gateway/GatewayCore.h"
#include "gateway/sharing/StateSharing.h"

#include <boost/json.hpp>

namespace gwt {

/// \brief What a gateway process believes, as JSON for its status page.
class GatewayStatus
{
public:
    GatewayStatus(const GatewayOptions &options, const GatewayCore &core, const FleetState &state,
                  const StateSharing &sharing);

    /// \brief Configuration, registry, fleet and admission, and a summary of each service.
    boost::json::object summary(bool isStopping, TimePoint now) const;
    /// \brief The backend servers of \a service; without any if no such service is known.
    boost::json::object service(const std::string &service, TimePoint now) const;

private:
    boost::json::object header() const;

    const GatewayOptions &m_options;
    const GatewayCore &m_core;
    const FleetState &m_state;
    const StateSharing &m_sharing;
};

} // namespace gwt

#pragma once

#include "gateway/GatewayCore.h"
#include "gateway/sharing/StateSharing.h"

#include <boost/json.hpp>

namespace gwt {

/// \brief Builds the JSON of a gateway process's status page.
class GatewayStatus
{
public:
    GatewayStatus(const GatewayOptions &options, const GatewayCore &core, const FleetState &state,
                  const StateSharing &sharing);

    /// \brief Configuration, registry, fleet and admission, and a summary of each service.
    boost::json::object summary(bool isStopping, TimePoint now) const;
    /// \brief The backend servers of \a service; an empty list if the service is unknown.
    boost::json::object service(const std::string &service, TimePoint now) const;

private:
    boost::json::object header() const;

    const GatewayOptions &m_options;
    const GatewayCore &m_core;
    const FleetState &m_fleetState;
    const StateSharing &m_sharing;
};

} // namespace gwt

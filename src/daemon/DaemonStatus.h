#pragma once

#include "control/ConfigHolder.h"
#include "daemon/DaemonOptions.h"
#include "daemon/DaemonRole.h"
#include "daemon/Readiness.h"

namespace gwt {

/// \brief Reports a daemon's state and its view of the fleet for /status. Thread-safe.
class DaemonStatus
{
public:
    DaemonStatus(const DaemonOptions &options, const Readiness &readiness,
                 const ConfigHolder &config, const MembershipView &membership,
                 const DaemonRole &role);

    /// \brief Returns the status as a JSON object.
    std::string json() const;

private:
    const DaemonOptions &m_options;
    const Readiness &m_readiness;
    const ConfigHolder &m_config;
    const MembershipView &m_membership;
    const DaemonRole &m_role;
};

} // namespace gwt

#pragma once

#include "daemon/DaemonRole.h"
#include "daemon/DaemonServices.h"

#include <functional>
#include <memory>
#include <string>

namespace gwt {

/// \brief Builds a role from the services; made by reading the role's settings.
using RoleFactory = std::function<std::unique_ptr<DaemonRole>(DaemonServices &)>;

/// \brief What distinguishes one daemon program from another.
struct DaemonProgram
{
    std::string name;
    Role role = Role::Entry;
    std::string summary; ///< one line for --help
    RoleFactory (*readSettings)(Settings &settings);
    PlatformFactory connectPlatform;
};

/// \brief The main function of a daemon: command line, settings, run, graceful shutdown.
///
/// Exit status: 0 after a complete graceful shutdown, 1 if requests were cut off or the daemon
/// could not start, 2 for bad usage or faulty settings.
int runDaemon(const DaemonProgram &program, int argc, char **argv);

} // namespace gwt

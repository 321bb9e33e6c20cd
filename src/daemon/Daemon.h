#pragma once

#include "daemon/DaemonRole.h"
#include "daemon/DaemonServices.h"

#include <functional>
#include <memory>
#include <string>

namespace gwt {

/// \brief Creates a role from the services; holds the role's settings.
using RoleFactory = std::function<std::unique_ptr<DaemonRole>(DaemonServices &)>;

/// \brief The role-specific parts of a daemon program.
struct DaemonProgram
{
    std::string name;
    Role role = Role::Entry;
    std::string summary; ///< one line for --help
    RoleFactory (*readSettings)(Settings &settings);
    PlatformFactory connectPlatform;
};

/// \brief Runs a daemon from the command line and settings to its graceful shutdown.
///
/// Exit status: 0 after a complete graceful shutdown, 1 if requests were cut off or the daemon
/// could not start, 2 for a usage error or invalid settings.
int runDaemon(const DaemonProgram &program, int argc, char **argv);

} // namespace gwt

#pragma once

#include "common/Settings.h"

#include <string>
#include <variant>

namespace gwt {

/// \brief Exit statuses of all programs.
inline constexpr int exitOk = 0;
inline constexpr int exitFailure = 1;
inline constexpr int exitUsage = 2;

/// \brief The settings and mode of a program started with --config.
struct ProgramInvocation
{
    Settings settings;
    bool isCheckOnly = false;
};

/// \brief Parses --config, --check-config, --help and --version.
///
/// Returns the exit status if there is nothing to run; the help or error text is printed already.
std::variant<ProgramInvocation, int>
parseCommandLine(const std::string &name, const std::string &summary, int argc, char **argv);

/// \brief Prints the errors in \a settings; returns true if there are none.
bool reportFaults(const Settings &settings);

} // namespace gwt

#pragma once

#include "common/Endpoint.h"
#include "common/Outcome.h"
#include "common/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace gwt {

/// \brief The command line of gwtctl.
struct OperatorOptions
{
    std::string command;
    std::vector<std::string> arguments;
    std::optional<Endpoint> platform;
    std::vector<Endpoint>
        adminEndpoints; ///< admin addresses of the daemons; empty: from the host list
    std::string hostPrefix;
    std::string author;
    std::string note;
    std::uint64_t baseGeneration = 0; ///< 0: the head
    Milliseconds wait{0}; ///< longest wait until a generation is in force everywhere
    bool isJson = false;
    bool wantsHelp = false;
    bool wantsVersion = false;

    /// \brief Reads the command line. Errors: InvalidArgument "usage".
    static Outcome<OperatorOptions> read(int argc, char **argv);
    /// \brief Returns the description of the options for --help.
    static std::string help();
};

} // namespace gwt

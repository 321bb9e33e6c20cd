#include "daemon/CommandLine.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace gwt {

namespace options = boost::program_options;

std::variant<ProgramInvocation, int>
parseCommandLine(const std::string &name, const std::string &summary, int argc, char **argv)
{
    options::options_description description("Options");
    description.add_options()("config", options::value<std::string>(), "settings file (TOML)")(
        "check-config", "check the settings file and exit")("help", "print this text")(
        "version", "print the version");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &fault) {
        std::cerr << name << ": " << fault.what() << "\nTry '" << name << " --help'.\n";
        return exitUsage;
    }
    if (values.count("help")) {
        std::cout << "Usage: " << name << " --config FILE.toml\n"
                  << summary << "\n\n"
                  << description;
        return exitOk;
    }
    if (values.count("version")) {
        std::cout << name << " " << GWT_VERSION << "\n";
        return exitOk;
    }
    if (!values.count("config")) {
        std::cerr << name << ": --config FILE.toml is required\n";
        return exitUsage;
    }
    Outcome<Settings> settings = Settings::fromFile(values["config"].as<std::string>());
    if (!isOk(settings)) {
        std::cerr << name << ": " << errorOf(settings).detail << "\n";
        return exitUsage;
    }
    return ProgramInvocation{std::move(valueOf(settings)), values.count("check-config") > 0};
}

bool reportFaults(const Settings &settings)
{
    const std::vector<std::string> faults = settings.faults();
    for (const std::string &fault : faults)
        std::cerr << fault << "\n";
    return faults.empty();
}

} // namespace gwt

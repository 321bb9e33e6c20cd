#include "operator/OperatorProgram.h"

#include "control/ConfigChecker.h"
#include "operator/Operator.h"

#include <algorithm>
#include <iostream>

namespace gwt {

namespace {

/// \brief One command of gwtctl.
struct Command
{
    std::string name;
    std::string arguments; ///< for the usage text
    std::size_t minArguments = 0;
    std::size_t maxArguments = 0;
    bool needsPlatform = true;
    OperatorReport (*run)(OperatorContext &, const OperatorOptions &) = nullptr;
    std::string summary;
};

const std::vector<Command> &commands()
{
    static const std::vector<Command> all{
        {"check", "DIR", 1, 1, false, runCheck, "check a set of files and list every fault"},
        {"plan", "DIR", 1, 1, true, runPlan, "show what publishing DIR would change"},
        {"publish", "DIR", 1, 1, true, runPublish, "publish DIR as the next generation"},
        {"rollback", "GENERATION", 1, 1, true, runRollback,
         "publish an old generation as the next one"},
        {"show", "KIND [NAME]", 1, 2, true, runShow,
         "show objects: place, service, backend-server, rank"},
        {"history", "[COUNT]", 0, 1, true, runHistory, "list the newest generations"},
        {"status", "", 0, 0, false, runStatus,
         "list the daemons with their states and generations"},
        {"backends", "SERVICE", 1, 1, false, runBackends,
         "show the state of SERVICE's backend servers as seen by each gateway"},
        {"explain", "SERVICE | booking KEY | request ID", 1, 2, true, runExplain,
         "show the owners and the reason, or the trace of a recent search"},
    };
    return all;
}

std::string usageText()
{
    std::string text = "Usage: gwtctl COMMAND [OPTIONS]\n\nCommands:\n";
    for (const Command &command : commands()) {
        std::string line = "  " + command.name + " " + command.arguments;
        line.resize(std::max<std::size_t>(line.size() + 2, 34), ' ');
        text += line + command.summary + "\n";
    }
    return text + "\n";
}

int reportUsageError(const std::string &fault)
{
    std::cerr << "gwtctl: " << fault << "\nTry 'gwtctl --help'.\n";
    return exitUsage;
}

const Command *findCommand(const std::string &name)
{
    for (const Command &command : commands()) {
        if (command.name == name)
            return &command;
    }
    return nullptr;
}

std::string unknownCommand(const std::string &name)
{
    std::vector<std::string> names;
    for (const Command &command : commands())
        names.push_back(command.name);
    const std::string nearest = nearestName(name, names);
    return "no such command \"" + name + "\""
        + (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?");
}

} // namespace

int runOperator(int argc, char **argv, const PlatformFactory &connectPlatform)
{
    const Outcome<OperatorOptions> read = OperatorOptions::read(argc, argv);
    if (!isOk(read))
        return reportUsageError(errorOf(read).detail);
    const OperatorOptions &options = valueOf(read);
    if (options.wantsHelp) {
        std::cout << usageText() << OperatorOptions::help();
        return exitOk;
    }
    if (options.wantsVersion) {
        std::cout << "gwtctl " << GWT_VERSION << "\n";
        return exitOk;
    }
    if (options.command.empty())
        return reportUsageError("a command is needed");
    const Command *command = findCommand(options.command);
    if (!command)
        return reportUsageError(unknownCommand(options.command));
    const std::size_t argumentCount = options.arguments.size();
    if (argumentCount < command->minArguments || argumentCount > command->maxArguments)
        return reportUsageError("usage: gwtctl " + command->name + " " + command->arguments);
    const bool isPlatformMissing = !options.platform && command->needsPlatform;
    if (isPlatformMissing)
        return reportUsageError(command->name + " requires --platform IP:PORT");
    OperatorContext context(options, connectPlatform);
    const OperatorReport report = command->run(context, options);
    const std::string output
        = options.isJson ? boost::json::serialize(report.json) + "\n" : report.text;
    (report.exitStatus == exitOk || options.isJson ? std::cout : std::cerr) << output;
    return report.exitStatus;
}

} // namespace gwt

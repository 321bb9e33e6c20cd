#include "operator/OperatorOptions.h"

#include <boost/program_options.hpp>

#include <sstream>

namespace gwt {

namespace po = boost::program_options;

namespace {

constexpr int defaultWaitSeconds = 20;

Error usageError(const std::string &detail)
{
    return {ErrorCode::InvalidArgument, "usage", detail};
}

po::options_description visibleOptions()
{
    po::options_description visible("Options");
    auto add = visible.add_options();
    add("platform", po::value<std::string>(), "IP:PORT of the platform");
    add("admin", po::value<std::string>()->default_value(""),
        "IP:PORT,... of the daemons' admin listeners; default: from the platform's host list");
    add("host-prefix", po::value<std::string>()->default_value("host-"),
        "prefix of our own hosts' names in the host list");
    add("author", po::value<std::string>()->default_value("operator"), "author, for the history");
    add("note", po::value<std::string>()->default_value(""), "note, for the history");
    add("base", po::value<std::uint64_t>()->default_value(0),
        "generation that the change is based on; 0: the newest");
    add("wait", po::value<int>()->default_value(defaultWaitSeconds),
        "seconds to wait until a published generation is in force; 0: do not wait");
    add("output", po::value<std::string>()->default_value("text"), "text or json");
    add("help", "print this text");
    add("version", "print the version");
    return visible;
}

Outcome<std::vector<Endpoint>> parseEndpoints(const std::string &list)
{
    std::vector<Endpoint> endpoints;
    std::istringstream stream(list);
    std::string item;
    while (std::getline(stream, item, ',')) {
        const Outcome<Endpoint> endpoint = parseEndpoint(item);
        if (!isOk(endpoint))
            return errorOf(endpoint);
        endpoints.push_back(valueOf(endpoint));
    }
    return endpoints;
}

Outcome<OperatorOptions> fromValues(const po::variables_map &values)
{
    OperatorOptions options;
    options.wantsHelp = values.count("help") > 0;
    options.wantsVersion = values.count("version") > 0;
    if (values.count("command"))
        options.command = values["command"].as<std::string>();
    if (values.count("argument"))
        options.arguments = values["argument"].as<std::vector<std::string>>();
    if (values.count("platform")) {
        const Outcome<Endpoint> platform = parseEndpoint(values["platform"].as<std::string>());
        if (!isOk(platform))
            return usageError("--platform: " + errorOf(platform).detail);
        options.platform = valueOf(platform);
    }
    const Outcome<std::vector<Endpoint>> adminEndpoints
        = parseEndpoints(values["admin"].as<std::string>());
    if (!isOk(adminEndpoints))
        return usageError("--admin: " + errorOf(adminEndpoints).detail);
    options.adminEndpoints = valueOf(adminEndpoints);
    options.hostPrefix = values["host-prefix"].as<std::string>();
    options.author = values["author"].as<std::string>();
    options.note = values["note"].as<std::string>();
    options.baseGeneration = values["base"].as<std::uint64_t>();
    options.wait = std::chrono::seconds(values["wait"].as<int>());
    const std::string output = values["output"].as<std::string>();
    if (output != "text" && output != "json")
        return usageError("--output: must be text or json");
    options.isJson = output == "json";
    return options;
}

} // namespace

Outcome<OperatorOptions> OperatorOptions::read(int argc, char **argv)
{
    po::options_description all = visibleOptions();
    all.add_options()("command", po::value<std::string>())("argument",
                                                           po::value<std::vector<std::string>>());
    po::positional_options_description positions;
    positions.add("command", 1).add("argument", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(),
                  values);
    } catch (const po::error &fault) {
        return usageError(fault.what());
    }
    return fromValues(values);
}

std::string OperatorOptions::help()
{
    std::ostringstream text;
    text << visibleOptions();
    return text.str();
}

} // namespace gwt

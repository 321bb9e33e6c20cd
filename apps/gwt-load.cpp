#include "common/Log.h"
#include "daemon/CommandLine.h"
#include "load/Load.h"

#include <boost/asio/use_future.hpp>

#include <cstring>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

namespace {

const std::string name = "gwt-load";

template <typename T>
T runTask(gwt::WorkerPool &pool, gwt::Task<T> task)
{
    return gwt::asio::co_spawn(pool.executor(), std::move(task), gwt::asio::use_future).get();
}

std::optional<std::uint64_t> countStartedSearches(const gwt::Endpoint &backendAdmin)
{
    if (backendAdmin.port == 0)
        return std::nullopt;
    gwt::WorkerPool pool(1);
    gwt::HttpClient client(pool.executor());
    const auto started = runTask(pool, gwt::readStartedSearches(client, backendAdmin));
    return gwt::isOk(started) ? std::optional(gwt::valueOf(started)) : std::nullopt;
}

std::vector<std::string> audit(const gwt::Endpoint &backendAdmin,
                               const std::vector<gwt::StreamReport> &reports)
{
    std::vector<std::string> broken;
    for (const gwt::StreamReport &report : reports)
        broken.insert(broken.end(), report.violations.begin(), report.violations.end());
    if (backendAdmin.port == 0)
        return broken;
    gwt::WorkerPool pool(1);
    gwt::HttpClient client(pool.executor());
    const auto audited = runTask(pool, gwt::auditBookings(client, backendAdmin, reports));
    broken.insert(broken.end(), audited.begin(), audited.end());
    return broken;
}

std::optional<gwt::BackendLoad> backendLoad(const std::optional<std::uint64_t> &before,
                                            const std::optional<std::uint64_t> &after,
                                            const std::vector<gwt::StreamReport> &reports)
{
    if (!before || !after)
        return std::nullopt;
    gwt::BackendLoad load;
    load.started = *after - *before;
    for (const gwt::StreamReport &report : reports)
        load.needed += report.shardsAnswered;
    return load;
}

bool writeFile(const std::string &path, const std::string &text)
{
    if (path.empty())
        return true;
    std::ofstream file(path);
    file << text;
    file.close();
    if (!file)
        std::cerr << name << ": cannot write " << path << "\n";
    return static_cast<bool>(file);
}

int compare(const std::string &fileA, const std::string &fileB)
{
    std::ostringstream a;
    std::ostringstream b;
    a << std::ifstream(fileA).rdbuf();
    b << std::ifstream(fileB).rdbuf();
    const gwt::Outcome<std::string> table = gwt::compareReports(a.str(), b.str());
    if (!gwt::isOk(table)) {
        std::cerr << name << ": " << gwt::errorOf(table).detail << " is not a report\n";
        return gwt::exitUsage;
    }
    std::cout << gwt::valueOf(table);
    return gwt::exitOk;
}

int run(const gwt::LoadOptions &options)
{
    const std::optional<std::uint64_t> before = countStartedSearches(options.backendAdmin);
    gwt::LoadRunner runner(options);
    const std::vector<gwt::StreamReport> reports = runner.run();
    const auto load = backendLoad(before, countStartedSearches(options.backendAdmin), reports);
    const std::vector<std::string> broken = audit(options.backendAdmin, reports);
    std::cout << gwt::toTable(reports);
    if (load) {
        std::cout << "backend servers started " << load->started << " searches, " << load->needed
                  << " needed, extra " << 100 * load->extraShare() << " %\n";
    }
    for (const std::string &line : broken)
        std::cout << "BROKEN PROMISE: " << line << "\n";
    std::cout << "broken promises: " << broken.size() << "\n";
    const bool isWritten
        = writeFile(options.jsonFile, toJson(options, reports, load, broken) + "\n")
        && writeFile(options.svgFile, toSvg(options, reports))
        && writeFile(options.summaryFile, toSummaryLines(options, reports));
    for (const std::string &fault : runner.failedFaults())
        std::cout << "fault " << fault << " could not be injected\n";
    const bool isSuccess = broken.empty() && isWritten && runner.failedFaults().empty();
    return isSuccess ? gwt::exitOk : gwt::exitFailure;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc == 4 && std::strcmp(argv[1], "--compare") == 0)
        return compare(argv[2], argv[3]);
    auto invocation = gwt::parseCommandLine(
        name,
        "Sends open-loop load to entries and reports by rank.\n"
        "gwt-load --compare A.json B.json prints the ratios of two reports.",
        argc, argv);
    if (const int *status = std::get_if<int>(&invocation))
        return *status;
    auto &[settings, isCheckOnly] = std::get<gwt::ProgramInvocation>(invocation);
    const gwt::LoadOptions options = gwt::LoadOptions::read(settings);
    if (!gwt::reportFaults(settings))
        return gwt::exitUsage;
    if (options.entries.empty() || options.streams.empty()) {
        std::cerr << name << ": load.entries and at least one [stream.NAME] are required\n";
        return gwt::exitUsage;
    }
    if (isCheckOnly)
        return gwt::exitOk;
    gwt::initializeLog(name, "info", gwt::LogTarget::StandardError);
    return run(options);
}

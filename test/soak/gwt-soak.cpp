#include "QuotaSoak.h"
#include "Soak.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>

namespace po = boost::program_options;

namespace {

constexpr std::size_t shownFailures = 5; ///< failures printed per run

/// Runs soaks of quotas; returns the number of those that failed.
int runQuotaSoaks(const gwt::test::SoakOptions &options, std::uint64_t firstSeed, int runs)
{
    int failed = 0;
    for (int run = 0; run < runs; ++run) {
        gwt::test::QuotaSoakOptions quotaOptions;
        quotaOptions.seed = firstSeed + static_cast<std::uint64_t>(run);
        quotaOptions.duration = options.duration;
        quotaOptions.gateways = options.gateways;
        quotaOptions.faults = options.faults;
        gwt::test::QuotaSoak soak(quotaOptions);
        const std::vector<std::string> violations = soak.run();
        std::cout << "seed " << quotaOptions.seed << ": at most " << soak.quota().mostInAWindow()
                  << " of " << gwt::test::QuotaCheck::allowedInAWindow()
                  << " requests in a window, broken " << violations.size() << std::endl;
        for (const std::string &what : violations)
            std::cout << "  " << what << "\n";
        if (!violations.empty())
            std::cout << "  logs: " << soak.folder() << std::endl;
        failed += violations.empty() ? 0 : 1;
    }
    return failed;
}

} // namespace

int main(int argc, char **argv)
{
    gwt::test::SoakOptions options;
    std::uint64_t first = 1;
    int runs = 1;
    int seconds = 8;
    po::options_description description(
        "Injects faults into real gateways and checks their guarantees");
    description.add_options()("help", "print this help")(
        "quota", "inject faults beside a team that exceeds its quota")(
        "seed", po::value(&first)->default_value(1), "first seed")(
        "runs", po::value(&runs)->default_value(1), "number of runs, each with the next seed")(
        "seconds", po::value(&seconds)->default_value(8), "duration of the faults in a run")(
        "gateways", po::value(&options.gateways)->default_value(3), "gateway processes per run")(
        "callers", po::value(&options.callers)->default_value(6),
        "callers per run")("pipelining", po::value(&options.pipeliningCallers)->default_value(0),
                           "so many of the callers pipeline their requests")(
        "fault", po::value(&options.faults),
        "name of a fault to inject (repeatable); default: all faults");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error &fault) {
        std::cerr << fault.what() << "\n" << description;
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    options.duration = std::chrono::seconds(seconds);
    if (values.count("quota") > 0)
        return runQuotaSoaks(options, first, runs) == 0 ? 0 : 1;
    int failed = 0;
    for (int run = 0; run < runs; ++run) {
        options.seed = first + static_cast<std::uint64_t>(run);
        gwt::test::Soak soak(options);
        const std::vector<std::string> violations = soak.run();
        const gwt::test::SoakFindings &findings = soak.findings();
        std::cout << "seed " << options.seed << ": served " << findings.served << ", refused "
                  << findings.refusals << ", failed " << findings.failures.size()
                  << ", longest delay " << findings.longestDelay.count() << " ms, broken "
                  << violations.size() << std::endl;
        for (std::size_t i = 0; i < std::min(findings.failures.size(), shownFailures); ++i)
            std::cout << "  " << findings.failures[i] << "\n";
        for (const std::string &what : violations)
            std::cout << "  " << what << "\n";
        if (!violations.empty() || !findings.failures.empty())
            std::cout << "  logs: " << soak.folder() << "\n";
        failed += violations.empty() ? 0 : 1;
    }
    return failed == 0 ? 0 : 1;
}

#include "load/LoadTable.h"

#include "load/LoadSummary.h"

#include <boost/json.hpp>

#include <iomanip>
#include <sstream>

namespace gwt {

namespace json = boost::json;

namespace {

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

std::string refusalText(const StreamReport &report)
{
    std::string text;
    for (const auto &[reason, count] : report.refused)
        text += (text.empty() ? "" : " ") + reason + "=" + std::to_string(count);
    return text.empty() ? "-" : text;
}

void writeSearches(std::ostringstream &out, const std::vector<StreamReport> &reports)
{
    out << "searches         sent answered   p50ms   p99ms p99.9ms  target% complete%  shards%"
           "  extra% failed refused\n";
    for (const StreamReport &report : reports) {
        if (report.isBooking)
            continue;
        const LoadSummary summary = summarize(report);
        out << std::left << std::setw(14) << report.name << std::right << std::setw(7)
            << report.sent << std::setw(9) << report.answered << std::setw(8)
            << toMilliseconds(summary.p50) << std::setw(8) << toMilliseconds(summary.p99)
            << std::setw(8) << toMilliseconds(summary.p999) << std::setw(9)
            << percent(report.inTarget, report.sent) << std::setw(10)
            << percent(report.complete, report.answered) << std::setw(9)
            << percent(report.shardsAnswered, report.shards) << std::setw(8)
            << percent(report.extraAttempts, report.shards) << std::setw(7) << report.failed << " "
            << refusalText(report) << "\n";
    }
}

void writeBookings(std::ostringstream &out, const std::vector<StreamReport> &reports)
{
    out << "bookings         sent     done  notRun unknown  failed   p50ms   p99ms reasons\n";
    for (const StreamReport &report : reports) {
        if (!report.isBooking)
            continue;
        const LoadSummary summary = summarize(report);
        out << std::left << std::setw(14) << report.name << std::right << std::setw(7)
            << report.sent << std::setw(9) << report.answered << std::setw(8)
            << report.notRunBookings.size() << std::setw(8) << report.unknown << std::setw(8)
            << report.failed << std::setw(8) << toMilliseconds(summary.p50) << std::setw(8)
            << toMilliseconds(summary.p99) << " " << refusalText(report) << "\n";
    }
}

json::object toJson(const LoadSummary &figures)
{
    return json::object{{"sent", figures.sent},
                        {"answered", figures.answered},
                        {"in_target", figures.inTarget},
                        {"complete", figures.complete},
                        {"refused", figures.refused},
                        {"failed", figures.failed},
                        {"coverage", figures.coverage()},
                        {"p50_ms", toMilliseconds(figures.p50)},
                        {"p99_ms", toMilliseconds(figures.p99)},
                        {"p999_ms", toMilliseconds(figures.p999)}};
}

json::object toJson(const LoadOptions &options, const StreamReport &report)
{
    json::object refused;
    for (const auto &[reason, count] : report.refused)
        refused[reason] = count;
    json::object windows;
    for (const LoadWindow &window : options.windows)
        windows[window.name] = toJson(summarize(report, window.from, window.until));
    json::array seconds;
    for (Milliseconds from{0}; from < options.duration; from += std::chrono::seconds(1))
        seconds.push_back(toJson(summarize(report, from, from + std::chrono::seconds(1))));
    return json::object{{"name", report.name},
                        {"rank", report.rank},
                        {"kind", report.isBooking ? "booking" : "search"},
                        {"total", toJson(summarize(report))},
                        {"unknown", report.unknown},
                        {"extra_legs", report.extraAttempts},
                        {"refused_by_reason", std::move(refused)},
                        {"windows", std::move(windows)},
                        {"seconds", std::move(seconds)}};
}

} // namespace

std::string toTable(const std::vector<StreamReport> &reports)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    writeSearches(out, reports);
    writeBookings(out, reports);
    return out.str();
}

double BackendLoad::extraShare() const
{
    return needed == 0 ? 0 : static_cast<double>(started) / static_cast<double>(needed) - 1;
}

std::string toJson(const LoadOptions &options, const std::vector<StreamReport> &reports,
                   const std::optional<BackendLoad> &backend,
                   const std::vector<std::string> &violations)
{
    json::array streams;
    for (const StreamReport &report : reports)
        streams.push_back(toJson(options, report));
    json::array faults;
    for (const TimedFault &fault : options.faults)
        faults.push_back(json::object{{"name", fault.name}, {"at_ms", fault.at.count()}});
    json::object run{{"duration_ms", options.duration.count()},
                     {"seed", options.seed},
                     {"faults", std::move(faults)},
                     {"streams", std::move(streams)},
                     {"broken_promises", json::value_from(violations)}};
    if (backend) {
        run["backend"] = json::object{{"started", backend->started},
                                      {"needed", backend->needed},
                                      {"extra_share", backend->extraShare()}};
    }
    return json::serialize(run);
}

std::string toSummaryLines(const LoadOptions &options, const std::vector<StreamReport> &reports)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(2);
    for (const LoadWindow &window : options.windows) {
        for (const StreamReport &report : reports) {
            const LoadSummary figures = summarize(report, window.from, window.until);
            out << window.name << " " << report.name << " " << figures.sent << " "
                << figures.answered << " " << figures.inTarget << " " << figures.complete << " "
                << figures.refused << " " << figures.failed << " " << 100 * figures.coverage()
                << " " << toMilliseconds(figures.p50) << " " << toMilliseconds(figures.p99) << " "
                << toMilliseconds(figures.p999) << " " << figures.shards << " "
                << figures.extraAttempts << "\n";
        }
    }
    return out.str();
}

} // namespace gwt

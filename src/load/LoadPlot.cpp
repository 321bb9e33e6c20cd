#include "load/LoadPlot.h"

#include "load/LoadSummary.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace gwt {

namespace {

constexpr std::array colours = {"#c0392b", "#2471a3", "#229954", "#9a7d0a", "#7d3c98", "#424949"};
constexpr double width = 800;
constexpr double left = 60;
constexpr double right = 780;
constexpr double lowestLatency = 1; ///< ms
constexpr double highestLatency = 20'000; ///< ms

/// \brief Vertical range of one panel of the plot.
struct Panel
{
    double top;
    double bottom;
};

constexpr Panel latencyPanel{40, 300};
constexpr Panel coveragePanel{340, 440};
constexpr double height = 480;

double toX(Duration at, Milliseconds duration)
{
    const double share
        = std::chrono::duration<double>(at) / std::chrono::duration<double>(duration);
    return left + share * (right - left);
}

double toY(const Panel &panel, double share)
{
    return panel.bottom - std::clamp(share, 0.0, 1.0) * (panel.bottom - panel.top);
}

double latencyShare(double milliseconds)
{
    const double clamped = std::clamp(milliseconds, lowestLatency, highestLatency);
    return std::log(clamped / lowestLatency) / std::log(highestLatency / lowestLatency);
}

void writeText(std::ostringstream &out, double x, double y, const std::string &text,
               const std::string &colour = "#000")
{
    out << "<text x='" << x << "' y='" << y << "' fill='" << colour << "'>" << text << "</text>\n";
}

void writeGrid(std::ostringstream &out, const Panel &panel, double share, const std::string &label)
{
    const double y = toY(panel, share);
    out << "<line x1='" << left << "' x2='" << right << "' y1='" << y << "' y2='" << y
        << "' stroke='#ddd'/>\n";
    writeText(out, 4, y + 4, label);
}

void writeAxes(std::ostringstream &out, const LoadOptions &options)
{
    for (const int milliseconds : {1, 10, 100, 1000, 10'000}) {
        writeGrid(out, latencyPanel, latencyShare(milliseconds),
                  std::to_string(milliseconds) + " ms");
    }
    writeGrid(out, coveragePanel, 0, "0 %");
    writeGrid(out, coveragePanel, 1, "100 %");
    writeText(out, left, latencyPanel.top - 24, "p99 latency per second of arrival");
    writeText(out, left, coveragePanel.top - 8, "coverage of the answers");
    for (Milliseconds at{0}; at <= options.duration; at += std::chrono::seconds(5)) {
        writeText(out, toX(at, options.duration), height - 20,
                  std::to_string(at.count() / 1000) + " s");
    }
}

void writeFaults(std::ostringstream &out, const LoadOptions &options)
{
    for (const TimedFault &fault : options.faults) {
        const double x = toX(fault.at, options.duration);
        out << "<line x1='" << x << "' x2='" << x << "' y1='" << latencyPanel.top << "' y2='"
            << coveragePanel.bottom << "' stroke='#000' stroke-dasharray='4 3'/>\n";
        writeText(out, x + 3, latencyPanel.top + 12, fault.name);
    }
}

void writeStream(std::ostringstream &out, const LoadOptions &options, const StreamReport &report,
                 const std::string &colour)
{
    std::ostringstream latency;
    std::ostringstream coverage;
    constexpr Milliseconds bucket{1000};
    for (Milliseconds from{0}; from < options.duration; from += bucket) {
        const LoadSummary figures = summarize(report, from, from + bucket);
        if (figures.answered == 0)
            continue;
        const double x = toX(from + bucket / 2, options.duration);
        const double milliseconds = std::chrono::duration<double, std::milli>(figures.p99).count();
        latency << x << "," << toY(latencyPanel, latencyShare(milliseconds)) << " ";
        coverage << x << "," << toY(coveragePanel, figures.coverage()) << " ";
    }
    for (const std::string &points : {latency.str(), coverage.str()}) {
        out << "<polyline fill='none' stroke='" << colour << "' points='" << points << "'/>\n";
    }
}

} // namespace

std::string toSvg(const LoadOptions &options, const std::vector<StreamReport> &reports)
{
    std::ostringstream out;
    out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << width << "' height='" << height
        << "' font-family='sans-serif' font-size='11'>\n<rect width='100%' height='100%' "
           "fill='#fff'/>\n";
    writeAxes(out, options);
    double legend = left;
    for (std::size_t index = 0; index < reports.size(); ++index) {
        const std::string colour = colours[index % colours.size()];
        writeStream(out, options, reports[index], colour);
        writeText(out, legend, latencyPanel.top - 8, reports[index].name, colour);
        legend += 120;
    }
    writeFaults(out, options);
    out << "</svg>\n";
    return out.str();
}

} // namespace gwt

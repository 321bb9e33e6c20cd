#include "load/LoadComparison.h"

#include <boost/json.hpp>

#include <array>
#include <iomanip>
#include <map>
#include <sstream>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr std::array figures
    = {"sent", "answered", "in_target", "complete", "coverage", "p50_ms", "p99_ms", "p999_ms"};

/// \brief Total figures of each stream, by stream name.
using Totals = std::map<std::string, json::object>;

Outcome<Totals> readTotals(const std::string &text, const std::string &name)
{
    const Error notAReport(ErrorCode::InvalidArgument, "not_a_report", name);
    boost::system::error_code failure;
    const json::value parsed = json::parse(text, failure);
    const json::object *run = failure ? nullptr : parsed.if_object();
    const json::value *streams = run ? run->if_contains("streams") : nullptr;
    if (!streams || !streams->is_array())
        return notAReport;
    Totals totals;
    for (const json::value &stream : streams->get_array()) {
        const json::object *fields = stream.if_object();
        const json::value *label = fields ? fields->if_contains("name") : nullptr;
        const json::value *total = fields ? fields->if_contains("total") : nullptr;
        if (!label || !label->is_string() || !total || !total->is_object())
            return notAReport;
        totals[std::string(label->get_string())] = total->get_object();
    }
    return totals;
}

double figureOf(const json::object &total, const char *figure)
{
    const json::value *value = total.if_contains(figure);
    return value && value->is_number() ? value->to_number<double>() : 0;
}

} // namespace

Outcome<std::string> compareReports(const std::string &a, const std::string &b)
{
    const Outcome<Totals> first = readTotals(a, "the first file");
    if (!isOk(first))
        return errorOf(first);
    const Outcome<Totals> second = readTotals(b, "the second file");
    if (!isOk(second))
        return errorOf(second);
    std::ostringstream out;
    out << std::fixed << std::setprecision(3) << "stream         figure             A            B"
        << "      B/A\n";
    for (const auto &[name, total] : valueOf(first)) {
        const auto other = valueOf(second).find(name);
        if (other == valueOf(second).end())
            continue;
        for (const char *figure : figures) {
            const double valueA = figureOf(total, figure);
            const double valueB = figureOf(other->second, figure);
            out << std::left << std::setw(15) << name << std::setw(10) << figure << std::right
                << std::setw(12) << valueA << std::setw(13) << valueB << std::setw(9);
            if (valueA > 0)
                out << valueB / valueA << "\n";
            else
                out << "-"
                    << "\n";
        }
    }
    return out.str();
}

} // namespace gwt

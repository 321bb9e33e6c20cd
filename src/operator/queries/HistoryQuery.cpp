#include "operator/queries/HistoryQuery.h"

#include <array>
#include <charconv>
#include <ctime>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr std::uint64_t defaultCount = 20;
constexpr std::uint64_t millisecondsPerSecond = 1000;

std::string formatTime(std::uint64_t timeMs)
{
    const auto seconds = static_cast<std::time_t>(timeMs / millisecondsPerSecond);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

} // namespace

Outcome<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stop, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc() || stop != end || number == 0)
        return Error(ErrorCode::InvalidArgument, "bad_number", text);
    return number;
}

OperatorReport runHistory(OperatorContext &context, const OperatorOptions &options)
{
    Outcome<std::uint64_t> count = defaultCount;
    if (!options.arguments.empty())
        count = parseNumber(options.arguments[0]);
    if (!isOk(count))
        return OperatorReport::failure("cannot list the history", errorOf(count));
    const auto history
        = context.run(context.reader().history(valueOf(count), OperatorContext::deadline()));
    if (!isOk(history))
        return OperatorReport::failure("cannot list the history", errorOf(history));
    OperatorReport report;
    json::array list;
    for (const GenerationInfo &info : valueOf(history)) {
        const std::string time = formatTime(info.timeMs);
        report.text += std::to_string(info.generation) + "  " + time + "  " + info.author
            + (info.note.empty() ? "" : "  " + info.note) + "\n";
        list.push_back(json::object{{"generation", info.generation},
                                    {"time", time},
                                    {"author", info.author},
                                    {"note", info.note}});
    }
    report.json["generations"] = std::move(list);
    return report;
}

} // namespace gwt

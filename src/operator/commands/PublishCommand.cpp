#include "operator/commands/PublishCommand.h"

#include "control/commands/Publisher.h"
#include "operator/FleetStatus.h"
#include "operator/queries/CheckQuery.h"
#include "operator/queries/HistoryQuery.h"

#include <algorithm>
#include <thread>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr Milliseconds pollInterval{200};

std::vector<DaemonReply> daemonsBehind(const std::vector<DaemonReply> &fleet,
                                       std::uint64_t generation)
{
    std::vector<DaemonReply> lagging;
    std::copy_if(fleet.begin(), fleet.end(), std::back_inserter(lagging),
                 [&](const DaemonReply &daemon) { return daemon.generation < generation; });
    return lagging;
}

/// \brief Waits until \a generation is in force on all daemons and adds the result to \a report.
void awaitInForce(OperatorContext &context, const OperatorOptions &options,
                  std::uint64_t generation, OperatorReport &report)
{
    const TimePoint deadline = Clock::now() + options.wait;
    Outcome<std::vector<DaemonReply>> fleet = queryFleet(context, options);
    while (isOk(fleet) && !daemonsBehind(valueOf(fleet), generation).empty()
           && Clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        fleet = queryFleet(context, options);
    }
    if (!isOk(fleet)) {
        report.exitStatus = exitFailure;
        report.text += "no host list, so it is unknown where it is in force: "
            + errorOf(fleet).reason + "\n";
        return;
    }
    json::array list;
    for (const DaemonReply &daemon : daemonsBehind(valueOf(fleet), generation)) {
        report.text += "not in force on " + daemon.label
            + (daemon.hasReplied ? ", which has generation " + std::to_string(daemon.generation)
                                 : ", which does not answer at " + toString(daemon.admin))
            + "\n";
        list.push_back(json::value(daemon.label));
    }
    report.exitStatus = list.empty() ? exitOk : exitFailure;
    if (list.empty())
        report.text += "in force on all " + std::to_string(valueOf(fleet).size()) + " daemons\n";
    report.json["daemons"] = valueOf(fleet).size();
    report.json["not_in_force_on"] = std::move(list);
}

OperatorReport publishSet(OperatorContext &context, const OperatorOptions &options,
                          const ConfigSet &set, const std::string &note)
{
    Publisher publisher(context.store());
    const PublishInfo info{options.author, note, options.baseGeneration};
    const auto published = context.run(publisher.publish(set, info, OperatorContext::deadline()));
    if (!isOk(published))
        return OperatorReport::failure("not published", errorOf(published));
    OperatorReport report;
    report.text = "published generation " + std::to_string(valueOf(published)) + "\n";
    report.json["generation"] = valueOf(published);
    if (options.wait > Milliseconds::zero())
        awaitInForce(context, options, valueOf(published), report);
    return report;
}

} // namespace

OperatorReport runPublish(OperatorContext &context, const OperatorOptions &options)
{
    const ParsedConfig parsed = parseConfigDirectory(options.arguments[0]);
    if (!parsed.faults.empty())
        return faultReport(parsed.faults);
    return publishSet(context, options, parsed.set, options.note);
}

OperatorReport runRollback(OperatorContext &context, const OperatorOptions &options)
{
    const Outcome<std::uint64_t> generation = parseNumber(options.arguments[0]);
    if (!isOk(generation))
        return OperatorReport::failure("not rolled back", errorOf(generation));
    const TimePoint deadline = OperatorContext::deadline();
    const auto info = context.run(context.reader().find(valueOf(generation), deadline));
    if (!isOk(info))
        return OperatorReport::failure("not rolled back", errorOf(info));
    const auto old = context.run(context.reader().load(valueOf(info), deadline));
    if (!isOk(old))
        return OperatorReport::failure("not rolled back", errorOf(old));
    const std::string note
        = options.note.empty() ? "rollback to " + options.arguments[0] : options.note;
    return publishSet(context, options, valueOf(old)->set(), note);
}

} // namespace gwt

#include "operator/queries/CheckQuery.h"

#include "control/ConfigDiff.h"
#include "control/ConfigHolder.h"
#include "control/ConfigImpact.h"

namespace gwt {

namespace json = boost::json;

namespace {

std::string objectCountsText(const ConfigSet &set)
{
    return std::to_string(set.places.size()) + " places, " + std::to_string(set.services.size())
        + " services, " + std::to_string(set.backendServers.size()) + " backend servers, "
        + std::to_string(set.ranks.size()) + " ranks";
}

void addChange(const ObjectChange &change, OperatorReport &report, json::array &list)
{
    const std::string verb(toString(change.change));
    report.text += verb + " " + change.kind + " " + change.name + "\n";
    json::array fields;
    for (const FieldChange &field : change.fields) {
        const bool isNew = change.change == ChangeKind::Added;
        report.text += "  " + field.field + ": " + (isNew ? "" : field.before + " -> ")
            + field.after + "\n";
        fields.push_back(
            json::object{{"field", field.field}, {"before", field.before}, {"after", field.after}});
    }
    list.push_back(json::object{{"change", verb},
                                {"kind", change.kind},
                                {"name", change.name},
                                {"fields", std::move(fields)}});
}

/// \brief Adds \a lines as text lines that start with \a prefix and as the JSON array \a key.
void addLines(const std::vector<std::string> &lines, const std::string &prefix,
              const std::string &key, OperatorReport &report)
{
    json::array list;
    for (const std::string &line : lines) {
        report.text += prefix + line + "\n";
        list.emplace_back(json::string(line));
    }
    report.json[key] = std::move(list);
}

} // namespace

OperatorReport faultReport(const std::vector<ConfigFault> &faults)
{
    OperatorReport report;
    report.exitStatus = exitFailure;
    json::array list;
    for (const ConfigFault &fault : faults) {
        report.text += toString(fault) + "\n";
        list.push_back(json::object{{"file", fault.file},
                                    {"line", fault.line},
                                    {"object", fault.object},
                                    {"field", fault.field},
                                    {"problem", fault.problem}});
    }
    report.text += std::to_string(faults.size()) + (faults.size() == 1 ? " fault" : " faults")
        + "; nothing was published\n";
    report.json["sound"] = false;
    report.json["faults"] = std::move(list);
    return report;
}

OperatorReport runCheck(OperatorContext &, const OperatorOptions &options)
{
    const ParsedConfig parsed = parseConfigDirectory(options.arguments[0]);
    if (!parsed.faults.empty())
        return faultReport(parsed.faults);
    OperatorReport report;
    report.text = "sound: " + objectCountsText(parsed.set) + "\n";
    report.json = {{"sound", true},
                   {"places", parsed.set.places.size()},
                   {"services", parsed.set.services.size()},
                   {"backend_servers", parsed.set.backendServers.size()},
                   {"ranks", parsed.set.ranks.size()}};
    addLines(warningsOf(Config(0, parsed.set)), "warning: ", "warnings", report);
    return report;
}

OperatorReport runPlan(OperatorContext &context, const OperatorOptions &options)
{
    const ParsedConfig parsed = parseConfigDirectory(options.arguments[0]);
    if (!parsed.faults.empty())
        return faultReport(parsed.faults);
    const auto head = context.run(context.reader().current(OperatorContext::deadline()));
    if (!isOk(head) && errorOf(head).code != ErrorCode::NotFound)
        return OperatorReport::failure("cannot plan", errorOf(head));
    const ConfigPtr before = isOk(head) ? valueOf(head) : std::make_shared<const Config>();
    const std::uint64_t generation = before->generation();
    const Config after(generation, parsed.set);
    OperatorReport report;
    json::array list;
    const std::vector<ObjectChange> changes = diffConfig(before->set(), parsed.set);
    for (const ObjectChange &change : changes)
        addChange(change, report, list);
    report.text += std::to_string(changes.size()) + " objects differ from generation "
        + std::to_string(generation) + "; publish with --base " + std::to_string(generation) + "\n";
    report.json = {{"base", generation}, {"changes", std::move(list)}};
    addLines(describeImpact(*before, after), "moves: ", "moves", report);
    addLines(warningsOf(after), "warning: ", "warnings", report);
    return report;
}

} // namespace gwt

#include "operator/queries/ShowQuery.h"

#include "control/ConfigChecker.h"
#include "control/ConfigDiff.h"

namespace gwt {

namespace json = boost::json;

namespace {

using Objects = std::map<std::string, FieldTexts>;

template <typename Object>
Objects fieldTextsOf(const CopyOnWriteMap<Object> &objects)
{
    Objects texts;
    for (const auto &[name, object] : objects)
        texts[name] = fieldTexts(object);
    return texts;
}

Outcome<Objects> objectsOfKind(const ConfigSet &set, const std::string &kind)
{
    const std::map<std::string, Objects> kinds{{"place", fieldTextsOf(set.places)},
                                               {"service", fieldTextsOf(set.services)},
                                               {"backend-server", fieldTextsOf(set.backendServers)},
                                               {"rank", fieldTextsOf(set.ranks)}};
    const auto found = kinds.find(kind);
    if (found == kinds.end()) {
        return Error(ErrorCode::InvalidArgument, "no_such_kind",
                     kind + "; kinds: place, service, backend-server, rank");
    }
    return found->second;
}

Outcome<Objects> findObject(const Objects &objects, const std::string &name)
{
    const auto found = objects.find(name);
    if (found != objects.end())
        return Objects{*found};
    std::vector<std::string> names;
    for (const auto &[knownName, texts] : objects)
        names.push_back(knownName);
    const std::string nearest = nearestName(name, names);
    return Error(ErrorCode::NotFound, "no_such_object",
                 name + (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
}

} // namespace

OperatorReport runShow(OperatorContext &context, const OperatorOptions &options)
{
    const auto head = context.run(context.reader().current(OperatorContext::deadline()));
    if (!isOk(head))
        return OperatorReport::failure("cannot show objects", errorOf(head));
    const std::string &kind = options.arguments[0];
    Outcome<Objects> objects = objectsOfKind(valueOf(head)->set(), kind);
    if (isOk(objects) && options.arguments.size() > 1)
        objects = findObject(valueOf(objects), options.arguments[1]);
    if (!isOk(objects))
        return OperatorReport::failure("cannot show objects", errorOf(objects));
    OperatorReport report;
    json::array list;
    for (const auto &[name, texts] : valueOf(objects)) {
        report.text += kind + " " + name + "\n";
        json::object fields{{"name", name}};
        for (const auto &[field, text] : texts) {
            report.text += "  " + field + ": " + text + "\n";
            fields[field] = text;
        }
        list.push_back(std::move(fields));
    }
    report.json = {
        {"generation", valueOf(head)->generation()}, {"kind", kind}, {"objects", std::move(list)}};
    return report;
}

} // namespace gwt

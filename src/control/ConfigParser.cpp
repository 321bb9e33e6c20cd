#include "control/ConfigParser.h"

#include "common/TomlDocument.h"
#include "control/ConfigChecker.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <tuple>

namespace gwt {

namespace {

/// \brief Formats a hint that lists the \a allowed names and suggests the one nearest to \a name.
std::string allowedNamesHint(const std::string &name, const std::set<std::string> &allowed)
{
    std::string list;
    for (const std::string &each : allowed)
        list += (list.empty() ? "" : ", ") + each;
    const std::string nearest = nearestName(name, {allowed.begin(), allowed.end()});
    return (nearest.empty() ? "" : "did you mean \"" + nearest + "\"? ") + "allowed: " + list;
}

/// \brief Reads the fields of one object and reports invalid and unknown fields.
class ObjectReader
{
public:
    ObjectReader(const toml::table &table, std::string file, std::string object,
                 std::vector<ConfigFault> &faults)
        : m_table(table)
        , m_file(std::move(file))
        , m_object(std::move(object))
        , m_faults(faults)
    { }

    std::string text(const char *field)
    {
        const toml::node *node = find(field);
        const auto value = node ? node->value_exact<std::string>() : std::nullopt;
        if (!value || value->empty())
            fault(field, node, node ? "must be a text that is not empty" : "is required");
        return value.value_or("");
    }

    std::string optionalText(const char *field, const std::string &fallback)
    {
        return find(field) ? text(field) : fallback;
    }

    std::int64_t integer(const char *field, std::optional<std::int64_t> fallback, std::int64_t min,
                         std::int64_t max)
    {
        const toml::node *node = find(field);
        if (!node && fallback)
            return *fallback;
        const auto value = node ? node->value_exact<std::int64_t>() : std::nullopt;
        if (value && *value >= min && *value <= max)
            return *value;
        fault(field, node,
              node ? "must be a whole number from " + std::to_string(min) + " to "
                      + std::to_string(max)
                   : "is required");
        return min;
    }

    double number(const char *field, double fallback, double min, double max)
    {
        const toml::node *node = find(field);
        if (!node)
            return fallback;
        const auto value = node->value<double>();
        if (value && *value >= min && *value <= max)
            return *value;
        std::ostringstream problem;
        problem << "must be a number from " << min << " to " << max;
        fault(field, node, problem.str());
        return fallback;
    }

    bool flag(const char *field, bool fallback)
    {
        const toml::node *node = find(field);
        if (!node)
            return fallback;
        const auto value = node->value_exact<bool>();
        if (!value)
            fault(field, node, "must be true or false");
        return value.value_or(fallback);
    }

    Milliseconds milliseconds(const char *field, std::optional<std::int64_t> fallback,
                              std::int64_t max)
    {
        return Milliseconds(integer(field, fallback, 0, max));
    }

    Endpoint endpoint(const char *field)
    {
        const toml::node *node = find(field);
        const std::string value = text(field);
        const Outcome<Endpoint> parsed = parseEndpoint(value);
        if (isOk(parsed))
            return valueOf(parsed);
        if (!value.empty())
            fault(field, node, "must be of the form IP:PORT, not \"" + value + "\"");
        return {};
    }

    void reportUnknownFields()
    {
        for (const auto &[key, node] : m_table) {
            const std::string field(key.str());
            if (!m_knownFields.count(field))
                fault(field, &node, "unknown field; " + allowedNamesHint(field, m_knownFields));
        }
    }

private:
    const toml::node *find(const char *field)
    {
        m_knownFields.insert(field);
        return m_table.get(field);
    }

    void fault(const std::string &field, const toml::node *node, std::string problem)
    {
        const auto line = (node ? node->source() : m_table.source()).begin.line;
        m_faults.push_back({m_file, static_cast<int>(line), m_object, field, std::move(problem)});
    }

    const toml::table &m_table;
    std::string m_file;
    std::string m_object;
    std::vector<ConfigFault> &m_faults;
    std::set<std::string> m_knownFields;
};

constexpr std::int64_t maxTimeMs = 24LL * 3600 * 1000;
constexpr std::int64_t maxSlots = 100'000;

Place readPlace(ObjectReader &reader, std::string name)
{
    return {std::move(name), reader.text("region"), reader.text("availability_zone")};
}

Service readService(ObjectReader &reader, std::string name)
{
    Service service;
    service.index = reader.text("index");
    service.slice = reader.optionalText("slice", name);
    service.deadline = reader.milliseconds("deadline_ms", 1000, maxTimeMs);
    service.name = std::move(name);
    return service;
}

BackendServer readBackendServer(ObjectReader &reader, std::string name)
{
    BackendServer server;
    server.name = std::move(name);
    server.service = reader.text("service");
    server.place = reader.text("place");
    server.address = reader.endpoint("address");
    server.slots = static_cast<int>(reader.integer("slots", std::nullopt, 1, maxSlots));
    server.connections = static_cast<int>(reader.integer("connections", std::nullopt, 1, maxSlots));
    server.connectTime = reader.milliseconds("connect_time_ms", 1, maxTimeMs);
    server.isDraining = reader.flag("draining", false);
    return server;
}

Rank readRank(ObjectReader &reader, std::string name)
{
    Rank rank;
    rank.name = std::move(name);
    rank.target = Milliseconds(reader.integer("target_ms", std::nullopt, 1, maxTimeMs));
    rank.worth = reader.number("worth", 1, 0.001, 1e9);
    rank.floorShare = reader.number("floor_share", 0, 0, 1);
    rank.minimumCoverage = reader.number("minimum_coverage", 1, 0, 1);
    rank.isHedged = reader.flag("hedging", false);
    rank.isBackground = reader.flag("background", false);
    return rank;
}

/// \brief Reads all objects of one kind from the [kind.name] tables.
template <typename Object>
void readKind(const toml::table &root, const char *kind, const std::string &file,
              ParsedConfig &parsed, CopyOnWriteMap<Object> &objects,
              Object (*read)(ObjectReader &, std::string))
{
    const toml::node *node = root.get(kind);
    if (!node)
        return;
    const toml::table *table = node->as_table();
    if (!table) {
        parsed.faults.push_back({file, static_cast<int>(node->source().begin.line), kind, "",
                                 "must hold tables of the form [" + std::string(kind) + ".NAME]"});
        return;
    }
    for (const auto &[key, item] : *table) {
        const std::string name(key.str());
        const std::string object = std::string(kind) + " " + name;
        const int line = static_cast<int>(item.source().begin.line);
        const toml::table *fields = item.as_table();
        if (!fields) {
            parsed.faults.push_back({file, line, object, "", "must be a table"});
            continue;
        }
        ObjectReader reader(*fields, file, object, parsed.faults);
        Object value = read(reader, name);
        reader.reportUnknownFields();
        const auto [origin, isNew] = parsed.origins.emplace(object, std::pair(file, line));
        if (!isNew) {
            parsed.faults.push_back({file, line, object, "",
                                     "is already defined in " + origin->second.first + ":"
                                         + std::to_string(origin->second.second)});
            continue;
        }
        for (const auto &[field, fieldNode] : *fields) {
            const int fieldLine = static_cast<int>(fieldNode.source().begin.line);
            parsed.origins.emplace(fieldOrigin(object, std::string(field.str())),
                                   std::pair(file, fieldLine));
        }
        objects.insert_or_assign(name, value);
    }
}

const std::set<std::string> &knownKinds()
{
    static const std::set<std::string> all = {"place", "service", "backend-server", "rank"};
    return all;
}

} // namespace

std::string fieldOrigin(const std::string &object, const std::string &field)
{
    return object + ": " + field;
}

std::string toString(const ConfigFault &fault)
{
    std::string text = fault.file;
    if (fault.line > 0)
        text += ":" + std::to_string(fault.line);
    for (const std::string *part : {&fault.object, &fault.field, &fault.problem}) {
        if (!part->empty())
            text += (text.empty() ? "" : ": ") + *part;
    }
    return text;
}

bool parseConfigText(const std::string &text, const std::string &file, ParsedConfig &parsed)
{
    const auto document = parseToml(text, file);
    if (const auto *fault = std::get_if<TomlSyntaxError>(&document)) {
        parsed.faults.push_back({file, fault->line, "", "", fault->problem});
        return false;
    }
    const toml::table &root = std::get<toml::table>(document);
    for (const auto &[key, node] : root) {
        if (!knownKinds().count(std::string(key.str()))) {
            parsed.faults.push_back(
                {file, static_cast<int>(node.source().begin.line), std::string(key.str()), "",
                 "unknown kind; " + allowedNamesHint(std::string(key.str()), knownKinds())});
        }
    }
    readKind(root, "place", file, parsed, parsed.set.places, readPlace);
    readKind(root, "service", file, parsed, parsed.set.services, readService);
    readKind(root, "backend-server", file, parsed, parsed.set.backendServers, readBackendServer);
    readKind(root, "rank", file, parsed, parsed.set.ranks, readRank);
    return true;
}

ParsedConfig parseConfigDirectory(const std::string &directory)
{
    namespace fs = std::filesystem;
    ParsedConfig parsed;
    std::error_code failure;
    std::vector<fs::path> files;
    for (const auto &entry : fs::directory_iterator(directory, failure)) {
        if (entry.path().extension() == ".toml")
            files.push_back(entry.path());
    }
    if (failure || files.empty()) {
        parsed.faults.push_back(
            {directory, 0, "", "", failure ? failure.message() : "holds no .toml file"});
        return parsed;
    }
    std::sort(files.begin(), files.end());
    bool areAllParsed = true;
    for (const fs::path &file : files) {
        std::ifstream stream(file);
        std::ostringstream text;
        text << stream.rdbuf();
        if (!stream) {
            parsed.faults.push_back({file.string(), 0, "", "", "cannot be read"});
            areAllParsed = false;
            continue;
        }
        areAllParsed &= parseConfigText(text.str(), file.string(), parsed);
    }
    if (!areAllParsed) {
        parsed.faults.push_back(
            {directory, 0, "", "", "references are checked once every file can be read"});
        return parsed;
    }
    const std::vector<ConfigFault> faults = checkConfig(parsed.set, parsed.origins);
    parsed.faults.insert(parsed.faults.end(), faults.begin(), faults.end());
    std::stable_sort(parsed.faults.begin(), parsed.faults.end(),
                     [](const ConfigFault &a, const ConfigFault &b) {
                         return std::tie(a.file, a.line) < std::tie(b.file, b.line);
                     });
    return parsed;
}

} // namespace gwt

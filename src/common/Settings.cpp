#include "common/Settings.h"

#include "common/TomlDocument.h"

#include <fstream>
#include <set>
#include <sstream>

namespace gwt {

struct Settings::Data
{
    std::string file;
    toml::table table;
    std::set<std::string> knownKeys;
    std::vector<std::string> faults;

    const toml::node *find(const std::string &key)
    {
        knownKeys.insert(key);
        return table.at_path(key).node();
    }

    void addFault(const std::string &key, const toml::node *node, const std::string &problem)
    {
        std::string location = file;
        if (node)
            location += ":" + std::to_string(node->source().begin.line);
        faults.push_back(location + ": " + key + ": " + problem);
    }

    void collectUnknown(const toml::table &part, const std::string &prefix,
                        std::vector<std::string> &out) const;
};

void Settings::Data::collectUnknown(const toml::table &part, const std::string &prefix,
                                    std::vector<std::string> &out) const
{
    for (const auto &[name, node] : part) {
        const std::string key
            = prefix.empty() ? std::string(name.str()) : prefix + "." + std::string(name.str());
        if (const auto *child = node.as_table()) {
            collectUnknown(*child, key, out);
            continue;
        }
        if (knownKeys.count(key))
            continue;
        std::string allowed;
        for (const std::string &other : knownKeys) {
            const bool isSibling
                = other.rfind('.') == prefix.size() && other.compare(0, prefix.size(), prefix) == 0;
            if (isSibling)
                allowed += (allowed.empty() ? "" : ", ") + other;
        }
        out.push_back(file + ":" + std::to_string(node.source().begin.line) + ": " + key
                      + ": unknown key"
                      + (allowed.empty() ? std::string() : "; allowed here: " + allowed));
    }
}

Settings::Settings(std::unique_ptr<Data> data)
    : m_data(std::move(data))
{ }
Settings::Settings(Settings &&) noexcept = default;
Settings &Settings::operator=(Settings &&) noexcept = default;
Settings::~Settings() = default;

Outcome<Settings> Settings::fromFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream)
        return Error{ErrorCode::NotFound, "no_settings_file", path + ": cannot be read"};
    std::ostringstream text;
    text << stream.rdbuf();
    return fromText(text.str(), path);
}

Outcome<Settings> Settings::fromText(const std::string &text, const std::string &name)
{
    auto data = std::make_unique<Data>();
    data->file = name;
    auto parsed = parseToml(text, name);
    if (const auto *fault = std::get_if<TomlSyntaxError>(&parsed)) {
        return Error{ErrorCode::InvalidArgument, "bad_toml",
                     name + ":" + std::to_string(fault->line) + ": " + fault->problem};
    }
    data->table = std::move(std::get<toml::table>(parsed));
    return Settings(std::move(data));
}

std::string Settings::text(const std::string &key)
{
    const toml::node *node = m_data->find(key);
    const auto value = node ? node->value<std::string>() : std::nullopt;
    if (!value || value->empty())
        m_data->addFault(key, node, node ? "must be a non-empty string" : "is required");
    return value.value_or("");
}

std::string Settings::text(const std::string &key, const std::string &fallback)
{
    const toml::node *node = m_data->find(key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<std::string>();
    if (!value)
        m_data->addFault(key, node, "must be a string");
    return value.value_or(fallback);
}

std::string Settings::choice(const std::string &key, const std::string &fallback,
                             const std::vector<std::string> &allowed)
{
    std::string value = text(key, fallback);
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
        return value;
    std::string list;
    for (const std::string &item : allowed)
        list += (list.empty() ? "" : ", ") + item;
    m_data->addFault(key, m_data->find(key), "\"" + value + "\" is not one of: " + list);
    return fallback;
}

std::int64_t Settings::integer(const std::string &key, std::int64_t fallback, std::int64_t min,
                               std::int64_t max)
{
    const toml::node *node = m_data->find(key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < min || *value > max) {
        m_data->addFault(key, node,
                         "must be a whole number from " + std::to_string(min) + " to "
                             + std::to_string(max));
        return fallback;
    }
    return *value;
}

double Settings::number(const std::string &key, double fallback, double min, double max)
{
    const toml::node *node = m_data->find(key);
    if (!node)
        return fallback;
    const auto value = node->value<double>();
    if (!value || !(*value >= min && *value <= max)) {
        std::ostringstream problem;
        problem << "must be a number from " << min << " to " << max;
        m_data->addFault(key, node, problem.str());
        return fallback;
    }
    return *value;
}

bool Settings::flag(const std::string &key, bool fallback)
{
    const toml::node *node = m_data->find(key);
    if (!node)
        return fallback;
    const auto value = node->value_exact<bool>();
    if (!value)
        m_data->addFault(key, node, "must be true or false");
    return value.value_or(fallback);
}

Milliseconds Settings::duration(const std::string &key, Milliseconds fallback, Milliseconds min,
                                Milliseconds max)
{
    return Milliseconds(integer(key, fallback.count(), min.count(), max.count()));
}

Endpoint Settings::endpoint(const std::string &key)
{
    const toml::node *node = m_data->find(key);
    const auto value = node ? node->value<std::string>() : std::nullopt;
    const Outcome<Endpoint> parsed = parseEndpoint(value.value_or(""));
    if (isOk(parsed))
        return valueOf(parsed);
    m_data->addFault(key, node, node ? "must be a string of the form IP:PORT" : "is required");
    return {};
}

std::vector<Endpoint> Settings::endpoints(const std::string &key)
{
    std::vector<Endpoint> result;
    for (const std::string &item : texts(key)) {
        const Outcome<Endpoint> parsed = parseEndpoint(item);
        if (isOk(parsed))
            result.push_back(valueOf(parsed));
        else
            m_data->addFault(key, m_data->find(key), errorOf(parsed).detail);
    }
    return result;
}

std::vector<std::string> Settings::texts(const std::string &key)
{
    const toml::node *node = m_data->find(key);
    std::vector<std::string> result;
    if (!node)
        return result;
    const toml::array *array = node->as_array();
    if (!array) {
        m_data->addFault(key, node, "must be an array of strings");
        return result;
    }
    for (const toml::node &item : *array) {
        const auto value = item.value_exact<std::string>();
        if (!value)
            m_data->addFault(key, &item, "must be an array of strings");
        result.push_back(value.value_or(""));
    }
    return result;
}

std::vector<std::string> Settings::tableNames(const std::string &key)
{
    std::vector<std::string> names;
    const toml::node *node = m_data->find(key);
    const toml::table *table = node ? node->as_table() : nullptr;
    if (!table)
        return names;
    for (const auto &[name, child] : *table) {
        if (child.is_table())
            names.emplace_back(name.str());
    }
    return names;
}

std::vector<std::string> Settings::faults() const
{
    std::vector<std::string> all = m_data->faults;
    m_data->collectUnknown(m_data->table, "", all);
    return all;
}

} // namespace gwt

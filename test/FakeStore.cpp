#include "FakeStore.h"

namespace gwt::test {

namespace json = boost::json;

namespace {

/// A watch without news answers after this time; the client asks again.
constexpr Milliseconds watchWait{30};

std::string parameter(const std::string &target, const std::string &key)
{
    const auto position = target.find(key + "=");
    if (position == std::string::npos)
        return "";
    const auto first = position + key.size() + 1;
    return target.substr(first, target.find('&', first) - first);
}

} // namespace

FakeStore::FakeStore(boost::asio::io_context &context, TimerQueue &timers)
    : m_server(context, timers, [this](const ServerRequest &request) { return answer(request); })
{ }

json::object FakeStore::describe(const std::string &name, const json::value &spec) const
{
    return {{"meta", {{"name", name}, {"revision", m_revision}}}, {"spec", spec}};
}

void FakeStore::put(const std::string &kind, const std::string &name, const json::value &spec)
{
    ++m_revision;
    m_objects[kind][name] = spec;
    m_changes.push_back({m_revision, kind, {{"removed", false}, {"object", describe(name, spec)}}});
}

void FakeStore::remove(const std::string &kind, const std::string &name)
{
    ++m_revision;
    m_objects[kind].erase(name);
    m_changes.push_back(
        {m_revision, kind, {{"removed", true}, {"object", describe(name, nullptr)}}});
}

void FakeStore::setMode(Mode mode)
{
    m_mode = mode;
    if (mode == Mode::Resets)
        m_server.closeAll();
}

ScriptedReply FakeStore::answer(const ServerRequest &request)
{
    switch (m_mode) {
    case Mode::Answers:
        break;
    case Mode::Unavailable:
        return {httpResponse(503, "", "")};
    case Mode::Resets:
        return {"", Duration::zero(), true};
    case Mode::Silent:
        return {};
    }
    const std::string target(request.target());
    const std::string prefix = "/-/objects/";
    const std::string kind
        = target.substr(prefix.size(), target.find_first_of("?/", prefix.size()) - prefix.size());
    if (request.method() == boost::beast::http::verb::post)
        return create(kind, request);
    const std::string revision = parameter(target, "watch");
    return revision.empty() ? list(kind) : watch(kind, std::stoull(revision));
}

ScriptedReply FakeStore::list(const std::string &kind) const
{
    json::array items;
    const auto objects = m_objects.find(kind);
    if (objects != m_objects.end()) {
        for (const auto &[name, spec] : objects->second)
            items.push_back(describe(name, spec));
    }
    const json::object body{{"items", items}, {"more", false}, {"asOf", m_revision}};
    return {httpResponse(200, "", json::serialize(body))};
}

ScriptedReply FakeStore::watch(const std::string &kind, std::uint64_t revision) const
{
    json::array events;
    for (const Change &change : m_changes) {
        if (change.kind == kind && change.revision > revision)
            events.push_back(change.event);
    }
    // A change during the wait is told by the next watch from the same revision.
    const json::object body{{"events", events}, {"asOf", events.empty() ? revision : m_revision}};
    const Duration wait = events.empty() ? Duration(watchWait) : Duration::zero();
    return {httpResponse(200, "", json::serialize(body)), wait};
}

ScriptedReply FakeStore::create(const std::string &kind, const ServerRequest &request)
{
    const json::value body = json::parse(request.body());
    const std::string name(body.at("meta").at("name").as_string());
    if (m_objects[kind].contains(name))
        return {httpResponse(409, "", json::serialize(describe(name, m_objects[kind][name])))};
    put(kind, name, body.at("spec"));
    return {httpResponse(200, "", json::serialize(describe(name, body.at("spec"))))};
}

} // namespace gwt::test

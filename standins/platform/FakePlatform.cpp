#include "standins/platform/FakePlatform.h"

#include "common/Sleep.h"
#include "control/ConfigCodec.h"
#include "control/ConfigKeys.h"
#include "platform/KeyMapping.h"

#include <boost/json.hpp>

#include <charconv>
#include <sstream>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr std::size_t maxValueBytes = 1U << 20U;
constexpr Milliseconds watchPollInterval{10};
constexpr Milliseconds silencePollInterval{20};
constexpr std::chrono::seconds rateWindow{1};
const std::string objectsPath = "/-/objects/";
const std::string hostKind = "hosts";
const std::string statusPart = "status";
/// Marks a lost reply: the connection closes before any byte of it is sent.
constexpr int lostStatus = 599;

template <typename Number>
Number toNumber(const std::string &text, Number fallback)
{
    Number value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

HttpResponse errorResponse(int status, const std::string &code)
{
    return HttpResponse::json(status, "{\"error\":\"" + code + "\"}");
}

HttpResponse lostReply()
{
    HttpResponse lost = errorResponse(lostStatus, "reply_lost");
    lost.mustClose = true;
    return lost;
}

HttpWireBytes dropLostReply(HttpWireBytes wire)
{
    static const std::string lostStart = "HTTP/1.1 " + std::to_string(lostStatus);
    if (wire.bytes.starts_with(lostStart))
        return {"", true};
    return wire;
}

json::object toJson(const ObjectRecord &record)
{
    return {{"meta",
             {{"name", record.name},
              {"revision", record.revision},
              {"createdRev", record.createdRevision},
              {"finalizers", record.finalizers},
              {"deleting", record.isDeleting}}},
            {"spec", record.spec},
            {"status", record.status}};
}

HttpResponse jsonResponse(int status, const json::value &body)
{
    return HttpResponse::json(status, json::serialize(body));
}

HttpResponse withEra(HttpResponse response, std::uint64_t era)
{
    if (era > 0)
        response.headers["store-era"] = std::to_string(era);
    return response;
}

/// \brief Returns the response to a call, with the object in its body.
HttpResponse answerOf(const StoreWrite &write)
{
    switch (write.verdict) {
    case StoreWrite::Verdict::Done:
        return jsonResponse(200, toJson(write.object));
    case StoreWrite::Verdict::Conflict:
        return jsonResponse(409, toJson(write.object));
    case StoreWrite::Verdict::Missing:
        break;
    }
    return errorResponse(404, "no_such_object");
}

PlatformFaults parseFaults(const json::object &object, PlatformFaults faults)
{
    const auto number = [&](const char *name, std::int64_t current) {
        const json::value *value = object.if_contains(name);
        return value && value->is_int64() ? value->get_int64() : current;
    };
    const auto flag = [&](const char *name, bool current) {
        const json::value *value = object.if_contains(name);
        return value && value->is_bool() ? value->get_bool() : current;
    };
    faults.isDown = flag("down", faults.isDown);
    faults.isSilent = flag("silent", faults.isSilent);
    faults.resets = flag("resets", faults.resets);
    faults.delay = Milliseconds(number("delay_ms", faults.delay.count()));
    faults.lateEffect = Milliseconds(number("late_effect_ms", faults.lateEffect.count()));
    faults.loseWriteReplies
        = static_cast<int>(number("lose_write_replies", faults.loseWriteReplies));
    faults.writesPerSecond = static_cast<int>(number("writes_per_second", faults.writesPerSecond));
    faults.readsPerSecond = static_cast<int>(number("reads_per_second", faults.readsPerSecond));
    faults.hostListLag = Milliseconds(number("host_list_lag_ms", faults.hostListLag.count()));
    const json::value *prefix = object.if_contains("lose_reply_prefix");
    if (prefix && prefix->is_string())
        faults.loseReplyPrefix = std::string(prefix->get_string());
    return faults;
}

std::vector<Host> parseHosts(const json::array &list)
{
    std::vector<Host> hosts;
    for (const json::value &item : list) {
        const json::object &object = item.as_object();
        Host host{std::string(object.at("name").as_string()),
                  std::string(object.at("address").as_string()),
                  std::string(object.at("availability_zone").as_string()), HostState::Live};
        const json::value *state = object.if_contains("state");
        if (state && state->is_string() && state->get_string() == "leaving")
            host.state = HostState::Leaving;
        hosts.push_back(std::move(host));
    }
    return hosts;
}

} // namespace

FakePlatform::FakePlatform(Executor executor)
    : m_server(
        executor, HttpServerLimits{4U << 20U},
        [this](HttpRequest request) { return answer(std::move(request)); }, dropLostReply)
    , m_admin(executor, HttpServerLimits{4U << 20U},
              [this](HttpRequest request) { return answerAdmin(std::move(request)); })
{ }

void FakePlatform::setFaults(const PlatformFaults &faults)
{
    const std::lock_guard lock(m_mutex);
    m_faults = faults;
}

PlatformFaults FakePlatform::faults() const
{
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

void FakePlatform::setHosts(std::vector<Host> hosts)
{
    const std::lock_guard lock(m_mutex);
    m_hostHistory.emplace_back(Clock::now(), std::move(hosts));
}

bool FakePlatform::tryAcquireToken(TokenWindow &window, int limit)
{
    const std::lock_guard lock(m_mutex);
    if (limit <= 0)
        return true;
    const TimePoint now = Clock::now();
    if (now - window.start >= rateWindow)
        window = {now, 0};
    if (window.used >= limit)
        return false;
    ++window.used;
    return true;
}

bool FakePlatform::losesReply(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    if (m_faults.loseWriteReplies <= 0 || !key.starts_with(m_faults.loseReplyPrefix))
        return false;
    --m_faults.loseWriteReplies;
    return true;
}

std::string FakePlatform::writtenKey(const Target &target, const HttpResponse &response)
{
    // A create request names its object in the body only.
    const json::value object = json::parse(response.body);
    return platform::keyOf({target.kind, std::string(object.at("meta").at("name").as_string())});
}

std::optional<FakePlatform::Target> FakePlatform::targetOf(const HttpRequest &request)
{
    // Splits the path before decoding it: a name may contain an encoded slash.
    const std::string path = request.target.substr(0, request.target.find('?'));
    if (!path.starts_with(objectsPath))
        return std::nullopt;
    std::vector<std::string> parts;
    std::stringstream stream(path.substr(objectsPath.size()));
    for (std::string part; std::getline(stream, part, '/');)
        parts.push_back(percentDecode(part));
    constexpr std::size_t maxParts = 3;
    if (parts.empty() || parts.size() > maxParts)
        return std::nullopt;
    const bool isStatus = parts.size() == maxParts;
    if (isStatus && parts.back() != statusPart)
        return std::nullopt;
    return Target{parts[0], parts.size() > 1 ? parts[1] : "", isStatus};
}

Task<HttpResponse> FakePlatform::answer(HttpRequest request)
{
    HttpResponse response = co_await answerInEra(std::move(request));
    // A watch has the header already; all other replies are computed at once.
    const bool hasEra = response.headers.contains("store-era");
    co_return hasEra ? response : withEra(std::move(response), m_data.era());
}

Task<HttpResponse> FakePlatform::answerInEra(HttpRequest request)
{
    if (faults().delay.count() > 0)
        co_await sleepFor(faults().delay);
    while (faults().isSilent && !request.cancel.isCancelled())
        co_await sleepFor(silencePollInterval);
    if (faults().resets)
        co_return lostReply();
    if (faults().isDown || request.cancel.isCancelled()) {
        ++m_counts.refused;
        co_return errorResponse(503, "store_unavailable");
    }
    const std::optional<Target> target = targetOf(request);
    if (!target)
        co_return errorResponse(404, "no_such_path");
    if (request.method == "GET")
        co_return co_await answerRead(std::move(request), *target);
    co_return co_await answerWrite(std::move(request), *target);
}

Task<HttpResponse> FakePlatform::answerRead(HttpRequest request, Target target)
{
    if (!request.queryValue("watch").empty())
        co_return co_await answerWatch(std::move(request), std::move(target));
    if (!tryAcquireToken(m_readWindow, faults().readsPerSecond)) {
        ++m_counts.refused;
        co_return errorResponse(429, "read_rate");
    }
    ++m_counts.reads;
    if (target.kind == hostKind)
        co_return answerHosts();
    if (target.name.empty())
        co_return answerList(request, target);
    const std::optional<ObjectRecord> object = m_data.get(target.kind, target.name);
    if (!object)
        co_return errorResponse(404, "no_such_object");
    co_return jsonResponse(200, toJson(*object));
}

Task<HttpResponse> FakePlatform::answerWrite(HttpRequest request, Target target)
{
    if (!tryAcquireToken(m_writeWindow, faults().writesPerSecond)) {
        ++m_counts.refused;
        co_return errorResponse(429, "write_rate");
    }
    ++m_counts.writes;
    const Milliseconds lateEffect = faults().lateEffect;
    if (lateEffect.count() > 0) {
        co_await sleepFor(lateEffect);
        applyWrite(request, target);
        ++m_counts.lostReplies;
        co_return lostReply();
    }
    HttpResponse response = applyWrite(request, target);
    if (response.status < 300 && losesReply(writtenKey(target, response))) {
        ++m_counts.lostReplies;
        co_return lostReply();
    }
    co_return response;
}

HttpResponse FakePlatform::applyWrite(const HttpRequest &request, const Target &target)
{
    if (request.body.size() > maxValueBytes)
        return errorResponse(413, "value_too_large");
    if (request.method == "DELETE") {
        const std::string revision = request.queryValue("revision");
        const auto expected
            = revision.empty() ? std::nullopt : std::optional(toNumber<std::uint64_t>(revision, 0));
        return answerOf(m_data.remove(target.kind, target.name, expected));
    }
    boost::system::error_code failure;
    const json::value parsed = json::parse(request.body, failure);
    const json::object *body = failure ? nullptr : parsed.if_object();
    const json::value *meta = body ? body->if_contains("meta") : nullptr;
    if (!meta || !meta->is_object() || !meta->get_object().if_contains("name"))
        return errorResponse(400, "bad_object");
    const json::object &fields = meta->get_object();
    const std::string name(fields.at("name").as_string());
    const json::value *revision = fields.if_contains("revision");
    const StoreData::Expected expected
        = revision ? std::optional(revision->to_number<std::uint64_t>()) : std::nullopt;
    const json::value *finalizers = fields.if_contains("finalizers");
    const auto part = [&](const char *field) {
        const json::value *value = body->if_contains(field);
        return value ? *value : json::value();
    };
    if (request.method == "POST")
        return answerOf(m_data.create(target.kind, name, part("spec")));
    if (request.method != "PUT")
        return errorResponse(405, "wrong_method");
    if (target.isStatus) {
        return answerOf(m_data.replaceStatus(target.kind, target.name, expected, part("status")));
    }
    return answerOf(m_data.replace(target.kind, target.name, expected, part("spec"),
                                   finalizers ? finalizers->as_array() : json::array()));
}

Task<HttpResponse> FakePlatform::answerWatch(HttpRequest request, Target target)
{
    ++m_counts.watches;
    const auto after = toNumber<std::uint64_t>(request.queryValue("watch"), 0);
    const Milliseconds wait(toNumber<std::int64_t>(request.queryValue("waitMs"), 0));
    const TimePoint deadline = Clock::now() + wait;
    bool isSilenced = false;
    for (;;) {
        const std::uint64_t era = m_data.era();
        const std::uint64_t asOf = m_data.revision();
        const auto changes = m_data.changesAfter(target.kind, after);
        if (!changes)
            co_return withEra(errorResponse(410, "history_gone"), era);
        const bool isDone
            = !changes->empty() || Clock::now() >= deadline || request.cancel.isCancelled();
        if (isDone && !isSilenced) {
            json::array events;
            std::uint64_t last = asOf;
            for (const RecordChange &change : *changes) {
                events.push_back(
                    json::object{{"removed", change.isRemoved}, {"object", toJson(change.object)}});
                last = std::max(last, change.revision);
            }
            co_return withEra(jsonResponse(200, json::object{{"events", events}, {"asOf", last}}),
                              era);
        }
        co_await sleepFor(watchPollInterval);
        // A watch that is open when the store falls silent never gets its reply.
        isSilenced = isSilenced || faults().isSilent;
        if (isSilenced && request.cancel.isCancelled())
            co_return lostReply();
        if (isSilenced)
            continue;
        if (faults().isDown)
            co_return errorResponse(503, "store_unavailable");
        if (faults().resets)
            co_return lostReply();
    }
}

HttpResponse FakePlatform::answerList(const HttpRequest &request, const Target &target) const
{
    const RecordPage page = m_data.list(target.kind, request.queryValue("after"));
    json::array items;
    for (const ObjectRecord &record : page.records)
        items.push_back(toJson(record));
    return jsonResponse(
        200, json::object{{"items", items}, {"more", page.hasMore}, {"asOf", page.revision}});
}

std::vector<Host> FakePlatform::laggedHosts() const
{
    const std::lock_guard lock(m_mutex);
    const TimePoint shown = Clock::now() - m_faults.hostListLag;
    std::vector<Host> hosts;
    for (const auto &[time, list] : m_hostHistory) {
        if (time <= shown || hosts.empty())
            hosts = list;
    }
    return hosts;
}

HttpResponse FakePlatform::answerHosts() const
{
    json::array items;
    for (const Host &host : laggedHosts()) {
        ObjectRecord record;
        record.name = host.name;
        record.spec
            = json::object{{"address", host.address},
                           {"zone", host.availabilityZone},
                           {"state", host.state == HostState::Leaving ? "leaving" : "live"}};
        items.push_back(toJson(record));
    }
    return jsonResponse(
        200, json::object{{"items", items}, {"more", false}, {"asOf", m_data.revision()}});
}

Task<HttpResponse> FakePlatform::answerAdmin(HttpRequest request)
{
    const std::string path = request.path();
    if (path == "/healthz")
        co_return HttpResponse::json(200, R"({"status":"alive"})");
    if (path == "/admin/counts") {
        const json::object counts{{"reads", m_counts.reads.load()},
                                  {"writes", m_counts.writes.load()},
                                  {"watches", m_counts.watches.load()},
                                  {"refused", m_counts.refused.load()},
                                  {"lost_replies", m_counts.lostReplies.load()}};
        co_return HttpResponse::json(200, json::serialize(counts));
    }
    boost::system::error_code failure;
    const json::value body = json::parse(request.body, failure);
    if (failure)
        co_return errorResponse(400, "bad_json");
    if (path == "/admin/faults" && body.is_object()) {
        setFaults(parseFaults(body.get_object(), faults()));
        co_return HttpResponse::json(200, "{}");
    }
    if (path == "/admin/return-from-copy" && body.is_object()) {
        returnFromCopy(Milliseconds(body.at("age_ms").as_int64()));
        co_return HttpResponse::json(200, "{}");
    }
    if (path == "/admin/hosts" && body.is_array()) {
        setHosts(parseHosts(body.get_array()));
        co_return HttpResponse::json(200, "{}");
    }
    if (path == "/admin/index-version" && body.is_object()) {
        IndexVersion version;
        version.index = std::string(body.at("index").as_string());
        version.version = static_cast<std::uint64_t>(body.at("version").as_int64());
        for (const json::value &service : body.at("services").as_array())
            version.services.emplace_back(service.as_string());
        m_objects.overwrite(indexVersionKey(version.index, version.version),
                            encodeIndexVersion(version));
        co_return HttpResponse::json(200, "{}");
    }
    co_return errorResponse(404, "no_such_path");
}

} // namespace gwt

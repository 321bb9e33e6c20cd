#include "standins/backend/FakeBackend.h"

#include "common/Sleep.h"
#include "standins/backend/ReplyFault.h"

#include <boost/json.hpp>

#include <xxhash.h>

#include <cmath>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr Milliseconds freezePollInterval{20};
constexpr int coldStartFactor = 3;

std::string textOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::int64_t numberOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value && value->is_int64() ? value->get_int64() : 0;
}

json::array makeHits(const json::object &request, const std::string &service)
{
    json::array hits;
    const std::string seed = textOf(request, "query") + "/" + service + "/"
        + std::to_string(numberOf(request, "version"));
    for (std::int64_t i = 0; i < numberOf(request, "limit"); ++i) {
        const std::string id = service + "-" + std::to_string(i);
        const XXH64_hash_t hash
            = XXH3_64bits_withSeed(seed.data(), seed.size(), static_cast<XXH64_hash_t>(i));
        const double score = static_cast<double>(hash % 1000000) / 1000000.0;
        hits.push_back(json::object{{"id", id}, {"score", score}, {"text", "item " + id}});
    }
    return hits;
}

} // namespace

FakeBackend::FakeBackend(Executor executor, BackendServer server, ServiceTime time,
                         BookingLedger &ledger, ServedLog &served, std::uint64_t seed)
    : m_executor(std::move(executor))
    , m_server(std::move(server))
    , m_time(time)
    , m_ledger(ledger)
    , m_served(served)
    , m_startTime(Clock::now())
    , m_random(seed)
{
    HttpServerLimits limits;
    limits.maxConnections = static_cast<std::size_t>(m_server.connections);
    m_http = std::make_unique<HttpServer>(
        m_executor, limits, [this](HttpRequest request) { return answer(std::move(request)); },
        withReplyFault);
}

Outcome<Endpoint> FakeBackend::listen()
{
    return m_http->listen(m_server.address);
}

BackendBehaviour FakeBackend::behaviour() const
{
    const std::lock_guard lock(m_mutex);
    return m_behaviour;
}

void FakeBackend::setBehaviour(const BackendBehaviour &behaviour)
{
    const std::lock_guard lock(m_mutex);
    m_behaviour = behaviour;
}

BackendCounts FakeBackend::counts() const
{
    const std::lock_guard lock(m_mutex);
    return m_counts;
}

bool FakeBackend::draw(double share)
{
    const std::lock_guard lock(m_mutex);
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

Duration FakeBackend::drawServiceTime()
{
    const std::lock_guard lock(m_mutex);
    const double mean = static_cast<double>(m_time.mean.count());
    const double mu = std::log(mean) - m_time.sigma * m_time.sigma / 2;
    double milliseconds = std::lognormal_distribution<double>(mu, m_time.sigma)(m_random);
    milliseconds *= m_behaviour.slowFactor;
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_behaviour.slowShare)
        milliseconds *= m_behaviour.slowShareFactor;
    if (Clock::now() - m_startTime < m_time.coldStart)
        milliseconds *= coldStartFactor;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
}

Task<bool> FakeBackend::acquireSlot(CancelToken cancel, TimePoint deadline)
{
    OneShot<bool> granted;
    {
        const std::lock_guard lock(m_mutex);
        if (m_slotsInUse < m_server.slots) {
            ++m_slotsInUse;
            m_counts.peakInSlots = std::max(m_counts.peakInSlots, m_slotsInUse);
            co_return true;
        }
        ++m_counts.overlimit;
        if (m_waiters.size() >= static_cast<std::size_t>(m_time.queueLimit))
            co_return false;
        m_waiters.push_back(granted);
    }
    const auto registration = cancel.onCancel([granted] { granted.set(false); });
    co_return co_await granted.waitUntil(deadline, false);
}

void FakeBackend::releaseSlot()
{
    const std::lock_guard lock(m_mutex);
    while (!m_waiters.empty()) {
        const OneShot<bool> next = m_waiters.front();
        m_waiters.pop_front();
        if (next.set(true))
            return;
    }
    --m_slotsInUse;
}

HttpResponse FakeBackend::refuse(int status, const std::string &reason) const
{
    return HttpResponse::json(status,
                              json::serialize(json::object{{"not_run", true}, {"reason", reason}}));
}

void FakeBackend::recordArrival()
{
    const std::lock_guard lock(m_mutex);
    ++m_counts.received;
    m_counts.peakConnections = std::max(m_counts.peakConnections, m_http->connections());
}

Task<HttpResponse> FakeBackend::answer(HttpRequest request)
{
    recordArrival();
    if (request.isFirstOnConnection)
        co_await sleepFor(m_server.connectTime);
    while (behaviour().isFrozen && !request.cancel.isCancelled())
        co_await sleepFor(freezePollInterval);
    if (behaviour().isDead || draw(behaviour().failShare)) {
        HttpResponse dropped = refuse(500, "");
        setReplyFault(dropped, ReplyFault::Dropped);
        co_return dropped;
    }
    if (behaviour().isDraining && behaviour().refusesWhenDraining)
        co_return refuse(503, behaviour().reportsDraining ? "draining" : "shed");
    if (draw(behaviour().shedShare)) {
        const std::lock_guard lock(m_mutex);
        ++m_counts.shed;
        co_return refuse(503, "shed");
    }
    if (request.path() == "/search")
        co_return co_await answerSearch(std::move(request));
    if (request.path() == "/book")
        co_return co_await answerBooking(std::move(request));
    co_return refuse(404, "no_such_path");
}

Task<HttpResponse> FakeBackend::answerSearch(HttpRequest request)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(request.body, failure);
    if (failure || !parsed.is_object())
        co_return refuse(400, "bad_json");
    const json::object &body = parsed.get_object();
    const std::set<std::uint64_t> versions = behaviour().versions;
    if (!versions.count(static_cast<std::uint64_t>(numberOf(body, "version"))))
        co_return refuse(410, "version_gone");
    const std::string timeLeftText = request.header("gwt-time-left-ms");
    const TimePoint deadline = Clock::now()
        + (timeLeftText.empty() ? Milliseconds(60'000)
                                : Milliseconds(std::strtol(timeLeftText.c_str(), nullptr, 10)));
    if (!co_await acquireSlot(request.cancel, deadline)) {
        const std::lock_guard lock(m_mutex);
        ++(Clock::now() >= deadline ? m_counts.expired : m_counts.shed);
        co_return refuse(503, "shed");
    }
    OneShot<bool> done;
    const auto registration = request.cancel.onCancel([done] { done.set(false); });
    const TimePoint end = Clock::now() + drawServiceTime();
    const bool isFinished = co_await done.waitUntil(std::min(end, deadline), end <= deadline);
    releaseSlot();
    {
        const std::lock_guard lock(m_mutex);
        ++m_counts.started;
        ++(isFinished ? m_counts.served
                      : (request.cancel.isCancelled() ? m_counts.cancelled : m_counts.expired));
    }
    if (!isFinished)
        co_return HttpResponse::json(504, R"({"reason":"deadline"})");
    const BackendBehaviour now = behaviour();
    const int queued = now.reportsLowLoad ? 0 : static_cast<int>(m_waiters.size());
    const json::object reply{{"request_id", textOf(body, "request_id")},
                             {"leg_id", numberOf(body, "leg_id")},
                             {"service", textOf(body, "service")},
                             {"version", numberOf(body, "version")},
                             {"newest_version", *versions.rbegin()},
                             {"hits", makeHits(body, m_server.service)},
                             {"draining", now.isDraining && now.reportsDraining},
                             {"load", json::object{{"queued", queued}}}};
    HttpResponse response = HttpResponse::json(200, json::serialize(reply));
    if (applyReplyFaults(response, textOf(body, "request_id")))
        m_served.record(textOf(body, "request_id"), m_server.service);
    co_return response;
}

bool FakeBackend::applyReplyFaults(HttpResponse &response, const std::string &requestId)
{
    const BackendBehaviour faults = behaviour();
    const std::string whole = response.body;
    if (draw(faults.crossShare)) {
        const std::lock_guard lock(m_mutex);
        if (m_swappedReply.empty())
            m_swappedReply = response.body;
        std::swap(response.body, m_swappedReply);
    }
    if (draw(faults.malformedShare))
        response.body = "{\"hits\": [";
    const bool isTruncated = draw(faults.truncateShare);
    if (isTruncated)
        setReplyFault(response, ReplyFault::Truncated);
    if (draw(faults.foreignShare)) {
        const auto at = response.body.find(requestId);
        if (at != std::string::npos)
            response.body.replace(at, requestId.size(), "another-request");
    }
    if (draw(faults.duplicateShare))
        setReplyFault(response, ReplyFault::Duplicated);
    return response.body == whole && !isTruncated;
}

Task<HttpResponse> FakeBackend::answerBooking(HttpRequest request)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(request.body, failure);
    if (failure || !parsed.is_object())
        co_return refuse(400, "bad_json");
    const json::object &body = parsed.get_object();
    const std::string key = textOf(body, "key");
    const std::string attempt = textOf(body, "attempt");
    if (!co_await acquireSlot({}, Clock::now() + std::chrono::seconds(1))) {
        json::object refusal{
            {"not_run", true}, {"reason", "shed"}, {"key", key}, {"attempt", attempt}};
        co_return HttpResponse::json(503, json::serialize(refusal));
    }
    co_await sleepFor(drawServiceTime());
    const std::string result = m_ledger.execute(key, attempt);
    releaseSlot();
    const BackendBehaviour now = behaviour();
    if (now.bookingReplyDelay.count() > 0)
        co_await sleepFor(now.bookingReplyDelay);
    const json::object reply{{"key", key}, {"attempt", attempt}, {"result", result}};
    HttpResponse response = HttpResponse::json(200, json::serialize(reply));
    if (now.losesBookingReplies)
        setReplyFault(response, ReplyFault::Dropped);
    co_return response;
}

} // namespace gwt

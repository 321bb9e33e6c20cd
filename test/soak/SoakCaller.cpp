#include "SoakCaller.h"

#include "gateway/forwarding/RecordMerge.h"

#include <set>
#include <sstream>

namespace gwt::test {

namespace {

enum Kind { Query, Safe, Unsafe, Version, Long, KindCount };

constexpr const char *paths[KindCount] = {"/all/1", "/safe/1", "/once/1", "/version/1", "/long/1"};
constexpr const char *unsafeIdMarker = "-once-";
constexpr Milliseconds pause{15};
/// Now and then, so that connections to backend servers become too old for unsafe requests.
constexpr Milliseconds longPause{600};
constexpr std::uint64_t requestsPerLongPause = 40;
/// Now and then a request has a field that is longer than those of Boost.Beast may be.
constexpr std::size_t longFieldBytes = 70'000;
constexpr std::uint64_t requestsPerLongField = 40;
constexpr Milliseconds deadline{900};
/// The caller disconnects if there is no response by shortly after the deadline.
constexpr Milliseconds replyTimeout{1200};
constexpr std::size_t topRecords = 5;
/// Time without a fault after which a gateway has to be up to date.
constexpr std::chrono::seconds settleTime{4};

/// True for a status that promises that the request has not been executed and never will be.
bool promisesNotRun(unsigned status)
{
    return status == 503 || status == 429 || status == 421 || status == 408;
}

std::set<std::string> split(const std::string &text)
{
    std::set<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; stream >> part;) {
        if (part.back() == ',')
            part.pop_back();
        parts.insert(part);
    }
    return parts;
}

} // namespace

SoakCaller::SoakCaller(boost::asio::io_context &context, TimerQueue &timers, SoakGateway &gateway,
                       std::vector<std::string> shards, std::string name, std::uint64_t seed,
                       SoakFindings &findings)
    : m_context(context)
    , m_timers(timers)
    , m_gateway(gateway)
    , m_shards(std::move(shards))
    , m_name(std::move(name))
    , m_random(seed)
    , m_findings(findings)
{ }

bool SoakCaller::isUnsafe(const std::string &id)
{
    return id.find(unsafeIdMarker) != std::string::npos;
}

void SoakCaller::reportViolation(const std::string &what, const std::string &id)
{
    m_findings.violations.push_back(what + ", request " + id + " at " + m_gateway.name());
}

void SoakCaller::recordFailure(const std::string &id, const std::string &reason)
{
    m_findings.failures.push_back(id + " at " + m_gateway.name() + ": " + reason);
}

void SoakCaller::recordUnanswered(const std::string &id)
{
    if (m_gateway.killedAt() >= m_sentAt)
        return;
    const auto waited = std::chrono::duration_cast<Milliseconds>(Clock::now() - m_sentAt);
    m_findings.unanswered.push_back({id, m_gateway.name(), waited});
}

void SoakCaller::sendNext()
{
    if (m_isStopped)
        return;
    if (m_connection && m_connection->isIdle())
        send();
    else
        connect();
}

void SoakCaller::connect()
{
    m_connection = std::make_shared<ClientConnection>(m_context, m_timers, 1U << 20U,
                                                      ClientConnection::Probing::Off);
    m_connection->connect(m_gateway.callers(), Milliseconds(500),
                          [this](const Outcome<Done> &outcome) {
                              if (!isOk(outcome)) {
                                  m_timers.after(Milliseconds(50), [this] { sendNext(); });
                                  return;
                              }
                              if (m_startsAtConnect != m_gateway.starts())
                                  m_lastVersion = 0;
                              m_startsAtConnect = m_gateway.starts();
                              send();
                          });
}

void SoakCaller::send()
{
    m_sentAt = Clock::now();
    const int kind = static_cast<int>(m_random() % KindCount);
    const std::string id
        = m_name + (kind == Unsafe ? unsafeIdMarker : "-") + std::to_string(++m_number);
    const std::string bytes = "GET " + std::string(paths[kind])
        + " HTTP/1.1\r\nHost: soak\r\nX-Request-Id: " + id
        + "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) + "\r\n"
        + (m_random() % requestsPerLongField == 0
               ? "X-Session: " + std::string(longFieldBytes, 's') + "\r\n"
               : "")
        + "\r\n";
    m_replyTimer = m_timers.after(replyTimeout, [this, id] {
        m_connection->close();
        recordFailure(id, "no response before the timeout");
        sendNext();
    });
    m_connection->exchange(bytes, false, nullptr, [this, id, kind](Outcome<WireResponse> outcome) {
        m_timers.cancel(m_replyTimer);
        onResponse(id, kind, outcome);
        m_timers.after(m_random() % requestsPerLongPause == 0 ? longPause : pause,
                       [this] { sendNext(); });
    });
}

void SoakCaller::onResponse(const std::string &id, int kind, const Outcome<WireResponse> &outcome)
{
    if (!isOk(outcome)) {
        if (errorOf(outcome).code == ErrorCode::Malformed)
            reportViolation("malformed response: " + errorOf(outcome).detail, id);
        recordFailure(id, errorOf(outcome).reason);
        recordUnanswered(id);
        return;
    }
    const WireResponse &response = valueOf(outcome);
    if (promisesNotRun(response.result_int())) {
        ++m_findings.refusals;
        if (kind == Unsafe)
            m_findings.refused.push_back(id);
        return;
    }
    if (response.result_int() == 404)
        reportViolation("status 404 for a route that every configuration has", id);
    if (response.result_int() != 200) {
        recordFailure(id, "status " + std::to_string(response.result_int()));
        return;
    }
    ++m_findings.served;
    if (kind == Query)
        checkQuery(id, response);
    else if (kind == Version)
        checkVersion(response);
    else
        checkSingle(kind == Long ? "long" : "single", id, response);
}

void SoakCaller::checkSingle(const std::string &service, const std::string &id,
                             const WireResponse &response)
{
    const bool matchesRecords = response["X-Server-Stamp"] == SoakBackend::signature(service, id)
        && response.body() == SoakBackend::records(service, id);
    if (!matchesRecords)
        reportViolation("the response differs from the backend server's records", id);
}

void SoakCaller::checkQuery(const std::string &id, const WireResponse &response)
{
    const std::set<std::string> signatures = split(std::string(response["X-Part-Stamps"]));
    std::vector<std::string> records;
    for (const std::string &shard : m_shards) {
        if (signatures.contains(SoakBackend::signature(shard, id)))
            records.push_back(SoakBackend::records(shard, id));
    }
    const std::size_t missing = std::stoul(std::string(response["X-Missing-Parts"]));
    if (records.size() != signatures.size() || records.size() + missing != m_shards.size())
        reportViolation("the stated coverage differs from the shards in the response", id);
    const std::vector<std::string_view> parts(records.begin(), records.end());
    if (response.body() != FixedSizeMerge(16).merge(parts, topRecords))
        reportViolation("the records are not the top records of the stated shards", id);
}

void SoakCaller::checkVersion(const WireResponse &response)
{
    // The signature contains the service, and the service tells which version routes to it.
    const std::string signature(response["X-Server-Stamp"]);
    const int version = std::stoi(signature.substr(signature.find("version-") + 8));
    if (version < m_lastVersion)
        reportViolation("an older configuration was used after version "
                            + std::to_string(m_lastVersion),
                        signature);
    m_lastVersion = version;
    checkDelay(static_cast<std::size_t>(version));
}

void SoakCaller::checkDelay(std::size_t version)
{
    const bool isNewest = version >= m_findings.publishedAt.size();
    if (isNewest || m_sentAt < m_gateway.disturbedUntil() + settleTime)
        return;
    const auto delay
        = std::chrono::duration_cast<Milliseconds>(m_sentAt - m_findings.publishedAt[version]);
    m_findings.longestDelay = std::max(m_findings.longestDelay, delay);
    if (delay > SoakGateway::s_updateLimit) {
        reportViolation("version " + std::to_string(version + 1) + " was not in force after "
                            + std::to_string(delay.count()) + " ms",
                        m_name);
    }
}

} // namespace gwt::test

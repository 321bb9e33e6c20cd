#include "load/LoadRunner.h"

#include "common/Random.h"
#include "common/Sleep.h"
#include "common/Timer.h"

#include <boost/json.hpp>

#include <iostream>
#include <thread>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr std::chrono::seconds progressInterval{2};

HttpRequest toRequest(const LoadStream &stream, const std::string &key)
{
    HttpRequest request;
    request.method = "POST";
    request.headers["Content-Type"] = "application/json";
    if (stream.kind == StreamKind::Search) {
        request.target = "/v1/search";
        request.body = json::serialize(json::object{{"index", stream.index},
                                                    {"rank", stream.rank},
                                                    {"query", "q-" + key},
                                                    {"limit", stream.limit}});
        return request;
    }
    request.target = "/v1/bookings";
    request.headers["Idempotency-Key"] = key;
    json::object body{
        {"index", stream.index}, {"rank", stream.rank}, {"payload", json::object{{"order", key}}}};
    if (!stream.service.empty())
        body["service"] = stream.service;
    request.body = json::serialize(body);
    return request;
}

std::string errorCode(const json::value &body)
{
    const json::object *object = body.if_object();
    const json::value *error = object ? object->if_contains("error") : nullptr;
    const json::object *fields = error ? error->if_object() : nullptr;
    const json::value *code = fields ? fields->if_contains("code") : nullptr;
    return code && code->is_string() ? std::string(code->get_string()) : "no_code";
}

} // namespace

LoadRunner::LoadRunner(LoadOptions options)
    : m_options(std::move(options))
    , m_pool(m_options.workers)
    , m_client(m_pool.executor())
{
    for (const LoadStream &stream : m_options.streams) {
        StreamReport report;
        report.name = stream.name;
        report.rank = stream.rank;
        report.isBooking = stream.kind == StreamKind::Booking;
        m_reports.push_back(std::move(report));
    }
}

std::vector<StreamReport> LoadRunner::run()
{
    const TimePoint start = Clock::now();
    m_start = start;
    for (std::size_t index = 0; index < m_options.faults.size(); ++index) {
        ++m_pendingTasks;
        spawn(m_pool.strand(), runFault(index, start));
    }
    for (std::size_t index = 0; index < m_options.streams.size(); ++index) {
        ++m_pendingTasks;
        spawn(m_pool.strand(), runStream(index, start));
    }
    TimePoint nextProgress = start + progressInterval;
    while (m_pendingTasks > 0) {
        std::this_thread::sleep_for(Milliseconds(10));
        if (Clock::now() >= nextProgress) {
            printProgress(start);
            nextProgress += progressInterval;
        }
    }
    const std::lock_guard lock(m_mutex);
    return m_reports;
}

std::vector<std::string> LoadRunner::failedFaults() const
{
    const std::lock_guard lock(m_mutex);
    return m_failedFaults;
}

void LoadRunner::printProgress(TimePoint start) const
{
    const std::lock_guard lock(m_mutex);
    const auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - start);
    std::cerr << "  " << elapsed.count() << " s:";
    for (const StreamReport &report : m_reports)
        std::cerr << " " << report.name << " " << report.answered << "/" << report.sent;
    std::cerr << "\n";
}

Task<void> LoadRunner::runStream(std::size_t streamIndex, TimePoint start)
{
    const LoadStream &stream = m_options.streams[streamIndex];
    RandomEngine random(m_options.seed * 1000 + streamIndex);
    std::exponential_distribution<double> gap(stream.ratePerSecond);
    const TimePoint end = start + (stream.until.count() > 0 ? stream.until : m_options.duration);
    TimePoint arrival = start + stream.from;
    const std::string runId = makeUniqueId().substr(0, 8);
    for (std::uint64_t i = 0;; ++i) {
        arrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
        if (arrival >= end)
            break;
        Timer timer(co_await asio::this_coro::executor, arrival);
        co_await timer.async_wait(asTuple);
        const std::string key = stream.name + "-" + runId + "-" + std::to_string(i);
        ++m_pendingTasks;
        spawn(m_pool.strand(),
              sendRequest(streamIndex, arrival, key, random() % m_options.entries.size()));
    }
    --m_pendingTasks;
}

Task<void> LoadRunner::runFault(std::size_t faultIndex, TimePoint start)
{
    const TimedFault &fault = m_options.faults[faultIndex];
    Timer timer(co_await asio::this_coro::executor, start + fault.at);
    co_await timer.async_wait(asTuple);
    HttpRequest request;
    request.method = "POST";
    request.target = fault.path;
    request.body = fault.body;
    const auto response
        = co_await m_client.send(fault.admin, std::move(request), Clock::now() + m_options.timeout);
    const bool isAccepted = isOk(response) && valueOf(response).status / 100 == 2;
    std::cerr << "  fault " << fault.name << (isAccepted ? "" : " FAILED") << "\n";
    if (!isAccepted) {
        const std::lock_guard lock(m_mutex);
        m_failedFaults.push_back(fault.name);
    }
    --m_pendingTasks;
}

Task<void> LoadRunner::sendRequest(std::size_t streamIndex, TimePoint arrival, std::string key,
                                   std::size_t entryIndex)
{
    const LoadStream &stream = m_options.streams[streamIndex];
    {
        const std::lock_guard lock(m_mutex);
        ++m_reports[streamIndex].sent;
    }
    const auto response = co_await m_client.send(
        m_options.entries[entryIndex], toRequest(stream, key), Clock::now() + m_options.timeout);
    const Duration latency = Clock::now() - arrival;
    {
        const std::lock_guard lock(m_mutex);
        StreamReport &report = m_reports[streamIndex];
        RequestRecord record;
        record.arrival = arrival - m_start;
        record.latency = latency;
        if (isOk(response) && stream.kind == StreamKind::Search)
            recordSearch(report, valueOf(response), record);
        else if (isOk(response))
            recordBooking(report, valueOf(response), key, record);
        report.failed += record.outcome == RequestOutcome::Failed ? 1 : 0;
        report.records.push_back(record);
    }
    --m_pendingTasks;
}

void LoadRunner::recordSearch(StreamReport &report, const HttpResponse &response,
                              RequestRecord &record)
{
    boost::system::error_code failure;
    const json::value body = json::parse(response.body, failure);
    if (failure || !body.is_object())
        return;
    if (response.status != 200) {
        record.outcome = RequestOutcome::Refused;
        ++report.refused[errorCode(body)];
        return;
    }
    const json::object &answer = body.get_object();
    const json::object &coverage = answer.at("coverage").as_object();
    const auto shards = coverage.at("shards").to_number<std::uint64_t>();
    const auto covered = coverage.at("answered").to_number<std::uint64_t>();
    const auto target = answer.at("timing").as_object().at("target_ms").to_number<std::int64_t>();
    const auto snapshot = answer.at("snapshot").to_number<std::uint64_t>();
    record.outcome = RequestOutcome::Answered;
    record.isInTarget
        = record.latency <= Milliseconds(target) && coverage.at("meets_minimum").as_bool();
    record.shards = static_cast<std::uint16_t>(shards);
    record.shardsAnswered = static_cast<std::uint16_t>(covered);
    ++report.answered;
    report.complete += covered == shards ? 1 : 0;
    report.inTarget += record.isInTarget ? 1 : 0;
    report.shards += shards;
    report.shardsAnswered += covered;
    record.extraAttempts = answer.at("extra_legs").to_number<std::uint32_t>();
    report.extraAttempts += record.extraAttempts;
    const bool isConsistent = covered + coverage.at("missing").as_array().size() == shards;
    if (!isConsistent)
        report.violations.push_back("coverage does not add up: " + response.body.substr(0, 200));
    for (const json::value &hit : answer.at("hits").as_array()) {
        if (hit.as_object().at("version").to_number<std::uint64_t>() != snapshot) {
            report.violations.emplace_back("a hit belongs to another snapshot");
            break;
        }
    }
}

void LoadRunner::recordBooking(StreamReport &report, const HttpResponse &response,
                               const std::string &key, RequestRecord &record)
{
    boost::system::error_code failure;
    const json::value body = json::parse(response.body, failure);
    if (failure || !body.is_object())
        return;
    if (response.status == 200) {
        record.outcome = RequestOutcome::Answered;
        ++report.answered;
        report.doneBookings[key] = std::string(body.at("result").as_string());
    } else if (response.status == 202) {
        record.outcome = RequestOutcome::Unknown;
        ++report.unknown;
    } else {
        record.outcome = RequestOutcome::Refused;
        ++report.refused[errorCode(body)];
        report.notRunBookings.push_back(key);
    }
}

} // namespace gwt

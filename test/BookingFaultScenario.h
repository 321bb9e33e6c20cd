#pragma once

#include "BookingCluster.h"

#include <boost/json.hpp>

#include <thread>

namespace gwt {

/// \brief Number of concurrent bookings, each in its own range.
inline constexpr int bookingCount = 4;
inline constexpr Milliseconds settleTimeout{6000};
inline constexpr Milliseconds settlePoll{50};

/// \brief The reply that one caller received.
struct CallerReply
{
    std::string key;
    std::string attempt; ///< of a refusal
    std::string state; ///< "done", "notRun" or "unknown"
    std::string result;
};

inline CallerReply readCallerReply(const std::string &key, const HttpResponse &response)
{
    namespace json = boost::json;
    const json::object body = json::parse(response.body).as_object();
    if (response.status == 503) {
        const json::value &error = body.at("error");
        return {key, std::string(error.at("request_id").as_string()),
                std::string(error.at("run").as_string()), ""};
    }
    const json::value *result = body.if_contains("result");
    return {key, "", std::string(body.at("state").as_string()),
            result ? std::string(result->as_string()) : ""};
}

/// \brief Runs the bookings of one seed with a fault at one point and checks their outcomes.
class BookingFaultScenario
{
public:
    explicit BookingFaultScenario(unsigned seed)
        : m_cluster(seed)
        , m_seed(seed)
    { }

    BookingCluster &cluster() { return m_cluster; }
    /// \brief True if each booking is sent through both entries from the start: half of the seeds.
    bool isSentTwice() const { return m_seed % 2 == 1; }

    std::string key(int number) const
    {
        return m_cluster.keyHeldByA("s" + std::to_string(m_seed) + "-", number);
    }

    /// \brief Sends booking \a number through \a entry from a background thread.
    void send(int number, int entry)
    {
        m_callers.emplace_back([this, number, entry] {
            const std::string name = key(number);
            const HttpResponse response = m_cluster.entry(entry).book(name);
            const std::lock_guard lock(m_mutex);
            m_replies.push_back(readCallerReply(name, response));
        });
    }

    void sendAll(int entry)
    {
        for (int number = 0; number < bookingCount; ++number)
            send(number, entry);
    }

    /// \brief Lets the holder acquire the ranges, then starts its graceful shutdown.
    void shutDownHolder(FaultPoint point)
    {
        for (int number = 0; number < bookingCount; ++number)
            m_cluster.entry(0).book(
                BookingCluster::keyInRange("held-", bookingRangeOf(key(number))));
        m_cluster.breakpoint().arm(point);
        BookingProcess &holder = m_cluster.booking("a");
        spawn(holder.workers().strand(), holder.engine().handOver());
    }

    /// \brief Sets whether the backend servers run bookings and then lose the replies.
    void setRepliesLost(bool areLost)
    {
        for (const auto &backend : m_cluster.backends().backends()) {
            BackendBehaviour behaviour = backend->behaviour();
            behaviour.losesBookingReplies = areLost;
            backend->setBehaviour(behaviour);
        }
    }

    void waitForCallers()
    {
        for (std::thread &caller : std::exchange(m_callers, {}))
            caller.join();
    }

    void checkNoUnknown()
    {
        for (const CallerReply &reply : m_replies) {
            if (reply.state == "unknown")
                addViolation(reply.key, "is unknown without a fault");
        }
    }

    /// \brief Checks that a holder lists each record without an outcome, without any lookup.
    void checkUnsettledListed()
    {
        const TimePoint end = Clock::now() + settleTimeout;
        std::vector<std::string> missing = unlistedBookings();
        while (!missing.empty() && Clock::now() < end) {
            std::this_thread::sleep_for(settlePoll);
            missing = unlistedBookings();
        }
        for (const std::string &name : missing)
            addViolation(name, "has no outcome and is not listed");
    }

    const std::vector<std::string> &violations() const { return m_violations; }

    std::vector<std::string> check()
    {
        checkUnsettledListed();
        for (int number = 0; number < bookingCount; ++number)
            awaitSettled(number);
        const auto executed = m_cluster.backends().ledger().entries();
        for (const auto &[name, entry] : executed) {
            if (entry.executions > 1)
                addViolation(name, "ran " + std::to_string(entry.executions) + " times");
        }
        for (const CallerReply &reply : m_replies) {
            const auto entry = executed.find(reply.key);
            checkReply(reply, entry == executed.end() ? BookingLedger::Entry{} : entry->second);
        }
        checkBookingsSucceed();
        return m_violations;
    }

private:
    void addViolation(const std::string &name, const std::string &violation)
    {
        m_violations.push_back("seed " + std::to_string(m_seed) + ": " + name + " " + violation);
    }

    /// \brief Looks the booking up until it is settled; one that stays unknown must be listed.
    void awaitSettled(int number)
    {
        const std::string name = key(number);
        const TimePoint end = Clock::now() + settleTimeout;
        CallerReply last;
        while (Clock::now() < end) {
            last = readCallerReply(name, m_cluster.entry(1).lookUp(name));
            if (last.state != "unknown" || isListed(name))
                break;
            std::this_thread::sleep_for(settlePoll);
        }
        if (last.state == "unknown" && !isListed(name))
            addViolation(name, "is unknown and not listed");
        m_replies.push_back(last);
        // The reply to a GET applies to the key, not to one attempt.
        const auto executed = m_cluster.backends().ledger().entries();
        if (last.state == "notRun" && executed.count(name))
            addViolation(name, "is reported notRun and ran");
    }

    std::vector<std::string> unlistedBookings()
    {
        std::vector<std::string> names;
        KeyedObjects &store = m_cluster.platform().store();
        for (const ObjectInfo &object : store.list("bookings/")) {
            wire::BookingJournal journal;
            journal.ParseFromString(store.get(object.key)->value);
            for (const wire::BookingRecord &record : journal.records()) {
                if (record.state() == wire::BookingRecord::SENT && !isListed(record.key()))
                    names.push_back(record.key());
            }
        }
        return names;
    }

    bool isListed(const std::string &name)
    {
        for (const std::string id : {"a", "b"}) {
            const bool isListedThere = m_cluster.isRunning(id)
                && m_cluster.booking(id).engine().statusJson().find("\"" + name + "\"")
                    != std::string::npos;
            if (isListedThere)
                return true;
        }
        return false;
    }

    void checkReply(const CallerReply &reply, const BookingLedger::Entry &executed)
    {
        if (reply.state == "done" && (executed.executions != 1 || executed.result != reply.result))
            addViolation(reply.key,
                         "was reported done with " + reply.result + " and ran "
                             + std::to_string(executed.executions) + " times: " + executed.result);
        const bool isThisAttempt = !reply.attempt.empty()
            && executed.result == "confirmed-" + reply.key + "-" + reply.attempt.substr(0, 8);
        if (reply.state == "notRun" && isThisAttempt)
            addViolation(reply.key, "ran by an attempt that was reported notRun");
    }

    /// \brief Checks that bookings succeed after the fault, after refusals at most.
    void checkBookingsSucceed()
    {
        for (int number = bookingCount; number < 2 * bookingCount; ++number) {
            const std::string name = key(number);
            const TimePoint end = Clock::now() + settleTimeout;
            CallerReply reply = readCallerReply(name, m_cluster.entry(0).book(name));
            while (reply.state == "notRun" && Clock::now() < end) {
                std::this_thread::sleep_for(settlePoll);
                reply = readCallerReply(name, m_cluster.entry(0).book(name));
            }
            if (reply.state != "done")
                addViolation(name, "is " + reply.state + " without a fault");
        }
    }

    BookingCluster m_cluster;
    const unsigned m_seed;
    std::vector<std::thread> m_callers;
    std::mutex m_mutex;
    std::vector<CallerReply> m_replies;
    std::vector<std::string> m_violations;
};

} // namespace gwt

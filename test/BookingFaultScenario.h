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
struct Answer
{
    std::string key;
    std::string attempt; ///< of a refusal
    std::string state; ///< "done", "notRun" or "unknown"
    std::string result;
};

inline Answer readAnswer(const std::string &key, const HttpResponse &response)
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
        : m_world(seed)
        , m_seed(seed)
    { }

    BookingCluster &world() { return m_world; }
    /// \brief True if each booking is sent through both entries from the start: half of the seeds.
    bool isDoubled() const { return m_seed % 2 == 1; }

    std::string key(int number) const
    {
        return m_world.keyOfA("s" + std::to_string(m_seed) + "-", number);
    }

    /// \brief Sends booking \a number through \a entry from a background thread.
    void send(int number, int entry)
    {
        m_callers.emplace_back([this, number, entry] {
            const std::string name = key(number);
            const HttpResponse response = m_world.entry(entry).book(name);
            const std::lock_guard lock(m_mutex);
            m_answers.push_back(readAnswer(name, response));
        });
    }

    void sendAll(int entry)
    {
        for (int number = 0; number < bookingCount; ++number)
            send(number, entry);
    }

    /// \brief Lets the holder acquire the ranges, then starts its graceful shutdown.
    void handOver(FaultPoint point)
    {
        for (int number = 0; number < bookingCount; ++number)
            m_world.entry(0).book(BookingCluster::keyOfRange("held-", bookingRangeOf(key(number))));
        m_world.trap().arm(point);
        BookingProcess &holder = m_world.booking("a");
        spawn(holder.workers().strand(), holder.engine().handOver());
    }

    /// \brief Sets whether the backend servers run bookings and then lose the replies.
    void setRepliesLost(bool areLost)
    {
        for (const auto &backend : m_world.backends().backends()) {
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

    void judgeNoUnknown()
    {
        for (const Answer &answer : m_answers) {
            if (answer.state == "unknown")
                blame(answer.key, "is unknown without a fault");
        }
    }

    /// \brief Checks that a holder lists each record without an outcome, without any lookup.
    void judgeListing()
    {
        const TimePoint end = Clock::now() + settleTimeout;
        std::vector<std::string> missing = unlisted();
        while (!missing.empty() && Clock::now() < end) {
            std::this_thread::sleep_for(settlePoll);
            missing = unlisted();
        }
        for (const std::string &name : missing)
            blame(name, "has no outcome and is not listed");
    }

    const std::vector<std::string> &broken() const { return m_broken; }

    std::vector<std::string> judge()
    {
        judgeListing();
        for (int number = 0; number < bookingCount; ++number)
            settle(number);
        const auto ran = m_world.backends().ledger().entries();
        for (const auto &[name, entry] : ran) {
            if (entry.executions > 1)
                blame(name, "ran " + std::to_string(entry.executions) + " times");
        }
        for (const Answer &answer : m_answers) {
            const auto entry = ran.find(answer.key);
            judgeAnswer(answer, entry == ran.end() ? BookingLedger::Entry{} : entry->second);
        }
        judgeCalm();
        return m_broken;
    }

private:
    void blame(const std::string &name, const std::string &fault)
    {
        m_broken.push_back("seed " + std::to_string(m_seed) + ": " + name + " " + fault);
    }

    /// \brief Looks the booking up until it is settled; one that stays unknown must be listed.
    void settle(int number)
    {
        const std::string name = key(number);
        const TimePoint end = Clock::now() + settleTimeout;
        Answer last;
        while (Clock::now() < end) {
            last = readAnswer(name, m_world.entry(1).lookUp(name));
            if (last.state != "unknown" || isListed(name))
                break;
            std::this_thread::sleep_for(settlePoll);
        }
        if (last.state == "unknown" && !isListed(name))
            blame(name, "is unknown and not listed");
        m_answers.push_back(last);
        // The reply to a GET applies to the key, not to one attempt.
        const auto ran = m_world.backends().ledger().entries();
        if (last.state == "notRun" && ran.count(name))
            blame(name, "is reported notRun and ran");
    }

    std::vector<std::string> unlisted()
    {
        std::vector<std::string> names;
        KeyedObjects &store = m_world.platform().store();
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
            const bool isThere = m_world.isRunning(id)
                && m_world.booking(id).engine().statusJson().find("\"" + name + "\"")
                    != std::string::npos;
            if (isThere)
                return true;
        }
        return false;
    }

    void judgeAnswer(const Answer &answer, const BookingLedger::Entry &ran)
    {
        if (answer.state == "done" && (ran.executions != 1 || ran.result != answer.result))
            blame(answer.key,
                  "was reported done with " + answer.result + " and ran "
                      + std::to_string(ran.executions) + " times: " + ran.result);
        const bool isThisAttempt = !answer.attempt.empty()
            && ran.result == "confirmed-" + answer.key + "-" + answer.attempt.substr(0, 8);
        if (answer.state == "notRun" && isThisAttempt)
            blame(answer.key, "ran by an attempt that was reported notRun");
    }

    /// \brief Checks that bookings succeed after the fault, after refusals at most.
    void judgeCalm()
    {
        for (int number = bookingCount; number < 2 * bookingCount; ++number) {
            const std::string name = key(number);
            const TimePoint end = Clock::now() + settleTimeout;
            Answer answer = readAnswer(name, m_world.entry(0).book(name));
            while (answer.state == "notRun" && Clock::now() < end) {
                std::this_thread::sleep_for(settlePoll);
                answer = readAnswer(name, m_world.entry(0).book(name));
            }
            if (answer.state != "done")
                blame(name, "is " + answer.state + " without a fault");
        }
    }

    BookingCluster m_world;
    const unsigned m_seed;
    std::vector<std::thread> m_callers;
    std::mutex m_mutex;
    std::vector<Answer> m_answers;
    std::vector<std::string> m_broken;
};

} // namespace gwt

// Case 7: a searcher runs a booking and fails with 503, without X-Not-Executed; the caller is told
// that the booking has not run and never will.

#include "Stage.h"

using namespace review;

namespace {

constexpr int callers = 4;
constexpr int bookings = 100; ///< of each caller
constexpr int failedOfTen = 4; ///< of the requests at one of two searchers

std::mutex mutex;
std::map<std::string, int> runs; ///< by request id
int failures = 0;
int requestsOfFaulty = 0;

bool serve(Conn &conn, const Message &request, const std::string &searcher, bool isFaulty)
{
    const std::string id = request.field("x-request-id");
    bool isFailing = false;
    {
        const std::lock_guard lock(mutex);
        ++runs[id];
        isFailing = isFaulty && requestsOfFaulty++ % 10 < failedOfTen;
        failures += isFailing ? 1 : 0;
    }
    pause(5);
    const std::string stamp = "X-Server-Stamp: stamp." + id + "\r\n";
    if (!isFailing)
        return conn.send(Searcher::answer("200 OK", request, stamp, "body of " + id));
    note(searcher + " has run " + id + " and fails with 503, without X-Not-Executed");
    return conn.send(Searcher::answer("503 Service Unavailable", request, stamp, "database lost"));
}

std::atomic<int> answered = 0;
std::atomic<int> untrue = 0; ///< requests that were refused and have run
std::atomic<int> doubled
    = 0; ///< bookings that the caller repeated after the refusal, and that ran twice

int runsOf(const std::string &id)
{
    const std::lock_guard lock(mutex);
    return runs[id];
}

/// Sends bookings. A caller retries a non-idempotent request once, after a promise only; each
/// attempt has an id of its own, and a retry comes on a new connection.
void call(int caller, int port)
{
    auto conn = Conn::connect(port);
    for (int number = 0; number < bookings; ++number) {
        const std::string booking
            = "booking-" + std::to_string(caller) + "-" + std::to_string(number);
        int runsOfBooking = 0;
        for (int attempt = 0; attempt < 2 && conn; ++attempt) {
            const std::string id = booking + "-" + std::to_string(attempt);
            conn->send(request("POST", "/book/", id, 2000, "one pot"));
            const Message answer = conn->read(true, 5000);
            answered += answer.isComplete ? 1 : 0;
            const int status = answer.status();
            const bool isPromise = status == 429 || status == 503 || status == 408 || status == 421;
            const int ran = runsOf(id);
            runsOfBooking += ran;
            if (isPromise && ran > 0) {
                ++untrue;
                note(id + " answered \"" + answer.startLine + "\", stamp \""
                     + answer.field("x-server-stamp") + "\", and HAS RUN");
            }
            if (!isPromise && answer.isComplete)
                break;
            conn = Conn::connect(port);
            if (!isPromise)
                break;
        }
        if (runsOfBooking > 1) {
            ++doubled;
            note(booking + " was made " + std::to_string(runsOfBooking) + " times");
        }
    }
}

} // namespace

int main(int, char **argv)
{
    Record::instance().open(argv[1]);
    Folder folder;
    Store store;
    store.start();
    Searcher faulty("i-02d9e6b4", "desk");
    Searcher sound("i-7f3a91c2", "desk");
    faulty.start([&](Conn &conn, const Message &request) {
        return serve(conn, request, faulty.id(), hasTrouble());
    });
    sound.start([&](Conn &conn, const Message &request) {
        return serve(conn, request, sound.id(), false);
    });
    faulty.registerIn(store);
    sound.registerIn(store);
    const boost::json::value route{{"name", "r-book"},       {"hostname", "pupu76.example"},
                                   {"pathPrefix", "/book/"}, {"routeType", "non_idempotent"},
                                   {"timeoutMs", 3000},      {"targetLatencyMs", 300},
                                   {"priority", 0},          {"service", "desk"},
                                   {"attempts", 2}};
    store.put("config", "main", configuration(7, {route}, {"desk"}));
    Gateway gateway;
    gateway.start(folder.path(), {"front-caico-1", store.address(), {}});
    if (!gateway.waitUntilReady())
        giveUp("the gateway is not ready");
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller)
        threads.emplace_back(call, caller, gateway.front());
    for (std::thread &thread : threads)
        thread.join();
    note("answers: " + std::to_string(answered) + ", failures after the run: "
         + std::to_string(failures) + ", refused though run: " + std::to_string(untrue)
         + ", bookings made twice by the caller's retry: " + std::to_string(doubled));
    if (answered < callers * bookings)
        finish(exitNotRun);
    finish(untrue > 0 ? exitBroken : exitHeld);
}

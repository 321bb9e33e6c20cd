// Case 9: a searcher sends an interim answer (103) before its answer; the caller gets no final
// answer.

#include "Stage.h"

using namespace review;

namespace {

constexpr int callers = 6;
constexpr int garbledEvery = 25; ///< one in 25 answers of one of two searchers: 0.04 of its answers
constexpr int timeoutMs = 1000; ///< of the route
constexpr int deadlineMs = 4000; ///< of the callers
constexpr int seconds = 30;

std::mutex mutex;
std::map<std::string, int> runs;
int answersOfFaulty = 0;
int interimAnswers = 0;

bool serve(Conn &conn, const Message &request, const std::string &searcher, bool isFaulty)
{
    const std::string id = request.field("x-request-id");
    bool sendsInterim = false;
    {
        const std::lock_guard lock(mutex);
        ++runs[id];
        sendsInterim = isFaulty && ++answersOfFaulty % garbledEvery == 0;
        interimAnswers += sendsInterim ? 1 : 0;
    }
    if (sendsInterim) {
        note(searcher + " sends 103 before its answer to " + id);
        conn.send("HTTP/1.1 103 Early Hints\r\nX-Request-Id: " + id + "\r\n\r\n");
    }
    pause(20);
    return conn.send(Searcher::answer("200 OK", request, "X-Server-Stamp: stamp." + id + "\r\n",
                                      "body of " + id));
}

/// Reads the final answer, as HTTP/1.1 asks of a client: those of status 1xx come before it.
Message readFinal(Conn &conn, int timeout, std::string &interim)
{
    const auto until = Clock::now() + Millis(timeout);
    for (;;) {
        const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
        const Message answer = conn.read(true, static_cast<int>(std::max<long>(left, 1)));
        if (!answer.isComplete || answer.status() >= 200)
            return answer;
        interim = answer.startLine;
    }
}

std::atomic<int> answered = 0;
std::atomic<int> unanswered = 0; ///< still without a final answer 0.5 s after the route's timeout
std::atomic<int> overdue = 0; ///< without a final answer at the route's timeout

void call(int caller, int port)
{
    const auto end = Clock::now() + std::chrono::seconds(seconds);
    auto conn = Conn::connect(port);
    for (int number = 0; conn && Clock::now() < end; ++number) {
        const std::string id = "booking-" + std::to_string(caller) + "-" + std::to_string(number);
        const auto sentAt = Clock::now();
        conn->send(request("POST", "/book/", id, deadlineMs, "one pot"));
        std::string interim;
        const Message answer = readFinal(*conn, deadlineMs, interim);
        const auto waited = std::chrono::duration_cast<Millis>(Clock::now() - sentAt).count();
        overdue += waited > timeoutMs ? 1 : 0;
        unanswered += waited > timeoutMs + 500 ? 1 : 0;
        if (answer.isComplete) {
            ++answered;
            continue;
        }
        int ran = 0;
        {
            const std::lock_guard lock(mutex);
            ran = runs[id];
        }
        note(id + " ran " + std::to_string(ran) + " time(s), interim answer \"" + interim
             + "\", NO FINAL ANSWER in " + std::to_string(waited) + " ms");
        conn = Conn::connect(port);
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
                                   {"timeoutMs", timeoutMs}, {"targetLatencyMs", 300},
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
    note("answered: " + std::to_string(answered) + ", interim answers: "
         + std::to_string(interimAnswers) + ", without a final answer at the route's timeout: "
         + std::to_string(overdue) + ", and 0.5 s later: " + std::to_string(unanswered));
    if (answered < 200)
        finish(gateway, folder, exitNotRun);
    // Eight or more, and over half of those that were unanswered at the timeout.
    finish(gateway, folder, unanswered >= 8 && 2 * unanswered > overdue ? exitBroken : exitHeld);
}

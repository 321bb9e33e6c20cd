// Case 9: the operator adds a route whose requests are not idempotent; after the first few bookings
// the gateways refuse all of them, though the searchers are idle.

#include "Stage.h"

#include <random>

using namespace review;

namespace {

constexpr int machines = 7; ///< as on the site
constexpr int connectionLimit = 26; ///< maxConnections of the site's services with two searchers
constexpr int keepAliveSeconds = 60; ///< after which a searcher closes an idle connection
constexpr int settleMs = 4000;
constexpr int configApplyMs = 3000;
constexpr int secondsJudged = 50;
constexpr int meanPauseMs = 1000; ///< between two requests of a kind to one machine

struct Kind
{
    std::string name;
    std::string method;
    std::string path;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<int> runs = 0;
    std::mutex mutex;
    std::map<std::string, int> answers; ///< by status line and body

    double share() const { return sent == 0 ? 0 : static_cast<double>(served) / sent; }
};

boost::json::value route(const std::string &name, const std::string &prefix,
                         const std::string &type, const std::string &service)
{
    return {{"name", name},         {"hostname", "pupu76.example"},
            {"pathPrefix", prefix}, {"routeType", type},
            {"timeoutMs", 3000},    {"targetLatencyMs", 300},
            {"priority", 0},        {"service", service},
            {"attempts", 2}};
}

boost::json::value config(int version, boost::json::array routes)
{
    boost::json::value config = configuration(version, std::move(routes), {"menu", "desk"});
    for (boost::json::value &service : config.at("services").as_array())
        service.at("maxConnections") = connectionLimit;
    return config;
}

bool serve(Conn &conn, const Message &request, Kind &kind)
{
    ++kind.runs;
    pause(20);
    const std::string id = request.field("x-request-id");
    return conn.send(Searcher::answer("200 OK", request,
                                      "X-Server-Stamp: stamp." + id + "\r\nKeep-Alive: timeout="
                                          + std::to_string(keepAliveSeconds) + "\r\n",
                                      "body of " + id));
}

void call(Kind &kind, const std::string &id, int port)
{
    ++kind.sent;
    std::string text = "no connection";
    if (const auto conn = Conn::connect(port)) {
        conn->send(request(kind.method, kind.path, id, 2000));
        const Message answer = conn->read(true, 2500);
        const bool isServed = answer.isComplete && answer.status() == 200;
        kind.served += isServed ? 1 : 0;
        text = answer.isComplete ? answer.startLine + (isServed ? "" : " " + answer.body)
                                 : "no answer";
    }
    const std::lock_guard lock(kind.mutex);
    ++kind.answers[text];
}

/// Sends requests of one kind to one machine, at random times.
void send(Kind &kind, int machine, int port, int milliseconds)
{
    std::mt19937 random(static_cast<unsigned>(machine) + (kind.method == "POST" ? 100U : 0U));
    std::exponential_distribution<> pauses(1.0 / meanPauseMs);
    const auto end = Clock::now() + Millis(milliseconds);
    std::vector<std::thread> threads;
    for (int number = 0; Clock::now() < end; ++number) {
        const std::string id
            = kind.name + "-" + std::to_string(machine) + "-" + std::to_string(number);
        threads.emplace_back([&kind, id, port] { call(kind, id, port); });
        pause(static_cast<int>(pauses(random)));
    }
    for (std::thread &thread : threads)
        thread.join();
}

void report(Kind &kind)
{
    note(kind.name + ": " + std::to_string(kind.sent) + " sent, " + std::to_string(kind.runs)
         + " run, " + std::to_string(kind.served) + " served");
    for (const auto &[text, count] : kind.answers)
        note("    " + std::to_string(count) + " x " + text);
}

} // namespace

int main(int, char **argv)
{
    Record::instance().open(argv[1]);
    Folder folder;
    Store store;
    store.start();
    Kind lookups;
    lookups.name = "lookup";
    lookups.method = "GET";
    lookups.path = "/look/";
    Kind bookings;
    bookings.name = "booking";
    bookings.method = "POST";
    bookings.path = "/book/";
    std::vector<std::unique_ptr<Searcher>> searchers;
    for (const std::string service : {"menu", "desk"}) {
        Kind &kind = service == "menu" ? lookups : bookings;
        for (const std::string number : {"1", "2"}) {
            searchers.push_back(std::make_unique<Searcher>("i-" + service + number, service));
            searchers.back()->start(
                [&kind](Conn &conn, const Message &request) { return serve(conn, request, kind); });
            searchers.back()->registerIn(store);
        }
    }
    const boost::json::value look = route("r-look", "/look/", "idempotent", "menu");
    const boost::json::value book = route("r-book", "/book/", "non_idempotent", "desk");
    store.put("config", "main", config(7, {look}));
    Gateway gateways[machines];
    for (int i = 0; i < machines; ++i) {
        const std::string name = "front-caico-" + std::to_string(i + 1);
        gateways[i].start(folder.path(), {name, store.address(), {}});
    }
    for (const Gateway &gateway : gateways) {
        if (!gateway.waitUntilReady())
            giveUp("a gateway is not ready");
    }
    pause(settleMs);
    if (hasTrouble()) {
        store.put("config", "main", config(11, {look, book}));
        note("the operator writes version 11, which adds the route of the bookings");
    }
    pause(configApplyMs + settleMs);
    note("steady state from here on");
    std::vector<std::thread> threads;
    for (int i = 0; i < machines; ++i) {
        const int port = gateways[i].front();
        threads.emplace_back([&, i, port] { send(lookups, i, port, 1000 * secondsJudged); });
        if (hasTrouble())
            threads.emplace_back([&, i, port] { send(bookings, i, port, 1000 * secondsJudged); });
    }
    for (std::thread &thread : threads)
        thread.join();
    report(lookups);
    report(bookings);
    // 20 or more on a route that was added later, served less than a quarter as often as the first.
    const bool isBroken = bookings.sent >= 20 && 4 * bookings.share() < lookups.share();
    if (lookups.share() < 0.5)
        finish(exitNotRun);
    finish(isBroken ? exitBroken : exitHeld);
}

// Eleven times for four seconds, searchers run requests whose answers are lost. Checks BUDGET: no more than three
// requests run, in one client attempt, on more searchers than their route's attempts.
#include "../Harness.h"

#include <csignal>
#include <iostream>
#include <random>

using namespace review;

namespace {

constexpr int attempts = 2;
constexpr Ms firstTroubleAt = 7000;
constexpr Ms troubleEvery = 7000;
constexpr Ms troubleMs = 4000;
constexpr Ms firstBurstAt = 4000;
constexpr Ms lastBurstAt = 83000;
constexpr Ms burstEvery = 1400;
constexpr int burstSize = 10; ///< requests at once to each gateway
constexpr double lossShare = 0.4;
constexpr Ms workMs = 100;

bool isLost()
{
    static std::mutex mutex;
    static std::mt19937 random(std::random_device{}());
    const std::lock_guard lock(mutex);
    return std::uniform_real_distribution<>(0, 1)(random) < lossShare;
}

} // namespace

int main(int, char **arguments)
{
    Record::open(std::string(arguments[1]) + "/record.txt");
    const std::string folder = arguments[2];
    Store store;
    const std::string service = "kafi81c";
    store.put("config", "main",
              configJson(7,
                         {routeJson("r-s4qmv29", "/timi402/", "idempotent", service, 10000, 1200,
                                    attempts, 2)},
                         {{service, 100}}));
    const std::vector<std::string> zones{"caico", "patos", "serrinha"};
    std::vector<std::unique_ptr<Searcher>> searchers;
    for (int i = 0; i < 4; ++i) {
        Searcher::Options options{.id = "i-" + std::to_string(i + 1), .service = service,
                                  .zone = zones[static_cast<std::size_t>(i) % 3], .work = workMs,
                                  .idleS = 1};
        const bool losesAnswers = i < 2; // a share of 0.5
        options.override = [losesAnswers](const Message &request, Socket &socket) {
            const Ms sinceFirst = now() - firstTroubleAt;
            const bool isInTrouble = isTroubleOn() && losesAnswers && sinceFirst >= 0
                && sinceFirst % troubleEvery < troubleMs && isLost();
            if (!isInTrouble)
                return false;
            sleepFor(workMs);
            Record::line("the answer to " + request.field("X-Request-Id") + " is lost, with a reset");
            socket.reset();
            return true;
        };
        searchers.push_back(std::make_unique<Searcher>(store, options));
        searchers.back()->registerReady();
    }
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const std::string &zone : zones)
        gateways.push_back(
            std::make_unique<Gateway>("front-" + zone + "-1", zone, store.port(), folder));
    for (const auto &gateway : gateways) {
        gateway->setSeeds({gateways[0]->peerPort(), gateways[1]->peerPort(), gateways[2]->peerPort()});
        gateway->start();
    }
    for (const auto &gateway : gateways) {
        if (!gateway->waitReady(3900)) {
            std::cerr << gateway->name() << " did not become ready\n";
            finish(2);
        }
    }

    std::mutex mutex;
    std::map<int, int> statuses;
    std::vector<std::thread> callers;
    for (int i = 0; i < 3 * burstSize; ++i) {
        callers.emplace_back([&, i] {
            const Gateway &gateway = *gateways[static_cast<std::size_t>(i) % 3];
            std::shared_ptr<Socket> socket;
            for (Ms at = firstBurstAt; at <= lastBurstAt; at += burstEvery) {
                sleepUntil(at);
                const Attempt attempt = request(socket, gateway.frontPort(), "/timi402/2f", 10000);
                Record::line("client: " + attempt.id + " to " + gateway.name() + ", status "
                             + std::to_string(attempt.status));
                const std::lock_guard lock(mutex);
                ++statuses[attempt.status];
            }
        });
    }
    for (std::thread &caller : callers)
        caller.join();

    std::map<std::string, std::set<std::string>> ranOn;
    for (const auto &searcher : searchers) {
        for (const Run &run : searcher->runs())
            ranOn[run.requestId].insert(searcher->options().id);
    }
    int tooMany = 0;
    for (const auto &[id, ids] : ranOn) {
        if (static_cast<int>(ids.size()) <= attempts)
            continue;
        ++tooMany;
        std::string text = "request " + id + " has run on";
        for (const std::string &searcher : ids)
            text += " " + searcher;
        Record::line(text);
    }
    std::string text = "requests that have run on more than " + std::to_string(attempts)
        + " searchers: " + std::to_string(tooMany) + " of " + std::to_string(ranOn.size()) + ";";
    for (const auto &[status, count] : statuses)
        text += " status " + std::to_string(status) + ": " + std::to_string(count);
    Record::line(text);
    std::cout << text << "\n" << (tooMany > 3 ? "BUDGET broken\n" : "BUDGET held\n");
    gateways.clear();
    finish(tooMany > 3 ? 1 : 0);
}

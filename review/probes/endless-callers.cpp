// Not a case: measures the memory of one gateway under callers that go on sending after their request was
// rejected. Usage: endless-callers MODE CALLERS, from the repository's root; MODE is 413, 400, head or close.
#include "../harness/Harness.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace review;

int main(int count, char **arguments)
{
    if (count != 3)
        return 2;
    const std::string mode = arguments[1];
    const int callerCount = std::atoi(arguments[2]);
    char name[] = "/tmp/probe-XXXXXX";
    const std::string folder = ::mkdtemp(name);
    Record::open(folder + "/record.txt");
    Store store;
    const std::string service = "kafi81c";
    store.put("config", "main",
              configJson(7,
                         {routeJson("r-s4qmv29", "/timi402/", "idempotent", service, 10000, 1200, 2, 2)},
                         {{service, 100}}));
    Searcher searcher(store, {.id = "i-1", .service = service});
    searcher.registerReady();
    auto gateway = std::make_unique<Gateway>("front-caico-1", "caico", store.port(), folder);
    gateway->setSeeds({gateway->peerPort()});
    gateway->start();
    if (!gateway->waitReady(5000))
        finish(2);
    const Ms end = now() + 8000;
    const std::string start = "GET /timi402/x HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: 1\r\n";
    const std::map<std::string, std::string> starts{
        {"413", "POST" + start.substr(3) + "Content-Length: 999999999\r\n\r\n"},
        {"400", "nonsense\r\n\r\n"},
        {"head", start},
        {"close", start + "Connection: close\r\n\r\n"}};
    std::vector<std::thread> callers;
    for (int i = 0; i < callerCount; ++i) {
        callers.emplace_back([&] {
            const std::string bytes(65536, 'a');
            while (now() < end) {
                const auto socket = Socket::connect(gateway->frontPort(), 1000);
                bool isOpen = socket && socket->send(starts.at(mode));
                while (isOpen && now() < end)
                    isOpen = socket->send(bytes);
            }
        });
    }
    long peakKb = 0;
    while (now() < end) {
        peakKb = std::max(peakKb, gateway->residentKb());
        sleepFor(10);
    }
    std::cout << mode << ", callers: " << callerCount << ", peak of the gateway: " << peakKb << " kB\n";
    gateway.reset();
    std::filesystem::remove_all(folder);
    finish(0);
}

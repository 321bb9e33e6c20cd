// Case 10: the operator raises maxHeaderBytes above 64 KiB; a request within it ends the gateway's
// process.

#include "Stage.h"

using namespace review;

namespace {

constexpr int rounds = 3;
constexpr int fieldBytes = 70'000; ///< of one header field of the callers, within the new limit
constexpr int newLimit = 131'072;
constexpr int oldLimit = 16'384;
constexpr int configApplyMs = 3000;

struct Machine
{
    Gateway gateway;
    Gateway::Options options;
    int ends = 0; ///< times that its process ended by itself
};

boost::json::value config(int version, int maxHeaderBytes)
{
    const boost::json::value route{{"name", "r-look"},       {"hostname", "pupu76.example"},
                                   {"pathPrefix", "/look/"}, {"routeType", "idempotent"},
                                   {"timeoutMs", 3000},      {"targetLatencyMs", 300},
                                   {"priority", 0},          {"service", "desk"},
                                   {"attempts", 2}};
    boost::json::value config = configuration(version, {route}, {"desk"});
    config.at("limits").at("maxHeaderBytes") = maxHeaderBytes;
    return config;
}

/// Sends one request; returns the status of its answer, 0 if the connection ended without one.
int call(Machine &machine, const std::string &id, int bytes)
{
    const auto conn = Conn::connect(machine.gateway.front());
    if (!conn)
        giveUp("no connection");
    conn->send(request("GET", "/look/", id, 2500, "",
                       "X-Session: " + std::string(static_cast<std::size_t>(bytes), 's') + "\r\n"));
    const Message answer = conn->read(true, 2500);
    const int status = answer.isComplete ? answer.status() : 0;
    note(id + " to " + machine.options.name + ", with a field of " + std::to_string(bytes)
         + " bytes: " + (status == 0 ? "connection ended without an answer" : answer.startLine));
    return status;
}

/// Notes an end of the process and starts it again, as the platform does.
void restartIfEnded(Machine &machine, const std::string &folder)
{
    for (int i = 0; i < 20 && machine.gateway.isRunning(); ++i)
        pause(50);
    if (machine.gateway.isRunning())
        return;
    ++machine.ends;
    const int status = machine.gateway.endStatus();
    note("THE PROCESS ON " + machine.options.name + " HAS ENDED, signal "
         + std::to_string(WIFSIGNALED(status) ? WTERMSIG(status) : 0));
    pause(300);
    machine.gateway.start(folder, machine.options);
    if (!machine.gateway.waitUntilReady())
        giveUp("a gateway is not ready again");
}

} // namespace

int main(int, char **argv)
{
    Record::instance().open(argv[1]);
    Folder folder;
    Store store;
    store.start();
    std::atomic<int> runs = 0;
    Searcher searcher("i-7f3a91c2", "desk");
    searcher.start([&](Conn &conn, const Message &request) {
        ++runs;
        return conn.send(Searcher::answer("200 OK", request, "X-Server-Stamp: stamp\r\n", "body"));
    });
    searcher.registerIn(store);
    store.put("config", "main", config(7, oldLimit));
    Machine machines[2];
    machines[0].options = {"front-caico-1", store.address(), {}};
    machines[1].options = {"front-caico-2", store.address(), {}};
    for (Machine &machine : machines)
        machine.gateway.start(folder.path(), machine.options);
    for (Machine &machine : machines) {
        if (!machine.gateway.waitUntilReady())
            giveUp("a gateway is not ready");
        if (call(machine, "before-" + machine.options.name, 10'000) != 200)
            giveUp("not served before the change");
    }
    const int limit = hasTrouble() ? newLimit : oldLimit;
    store.put("config", "main", config(11, limit));
    note("the operator writes version 11, with maxHeaderBytes " + std::to_string(limit));
    pause(configApplyMs + 500);
    int served = 0;
    for (int round = 0; round < rounds; ++round) {
        // The client retries once, on a new connection to another machine.
        for (Machine &machine : machines) {
            const std::string id = "lookup-" + std::to_string(round) + "-" + machine.options.name;
            const bool isServed = call(machine, id, hasTrouble() ? fieldBytes : 10'000) == 200;
            restartIfEnded(machine, folder.path());
            served += isServed ? 1 : 0;
            if (isServed)
                break;
        }
    }
    note("served: " + std::to_string(served) + " of " + std::to_string(rounds)
         + " lookups; ends of the processes: " + std::to_string(machines[0].ends) + " and "
         + std::to_string(machines[1].ends));
    const bool isBroken = machines[0].ends >= 3 && machines[1].ends >= 3;
    finish(isBroken ? exitBroken : exitHeld);
}

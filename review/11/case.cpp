/// \file
/// \brief One of four machines is cut off, with resets, while it coordinates the quota of a tenant.

#include "Rig3.h"

using namespace rig;

namespace {

constexpr double rate = 19; ///< requests a second of the tenant
constexpr double burst = 19;
constexpr double window = 5; ///< quotaWindowS
constexpr double overage = 0.1; ///< quotaOverage
constexpr double slack = 20; ///< quotaSlack
constexpr double cutLength = 5.5; ///< the longest of the site for core_cut; node_cut has up to 12
constexpr double sentPerSecond = 40; ///< at each of two machines
const std::vector<std::string> tenants{"peko77", "ralo620"}; ///< the first is in range 0

json::value config()
{
    json::array teams;
    for (const std::string &tenant : tenants)
        teams.push_back({{"name", tenant},
                         {"apiKeys", json::array{"key-" + tenant}},
                         {"priority", 1},
                         {"ratePerS", rate},
                         {"burst", burst}});
    return json::object{
        {"version", 7},
        {"routes",
         json::array{json::object{{"name", "r-card"},
                                  {"hostname", "fida40.example"},
                                  {"pathPrefix", "/card/"},
                                  {"routeType", "idempotent"},
                                  {"timeoutMs", 1500},
                                  {"targetLatencyMs", 500},
                                  {"priority", 2},
                                  {"service", "hutlist"},
                                  {"attempts", 2},
                                  {"allowAnonymous", false}}}},
        {"services", json::array{json::object{{"name", "hutlist"},
                                              {"healthPath", "/health"},
                                              {"maxConnections", 500},
                                              {"protocol", "h1"},
                                              {"tls", false}}}},
        {"limits",
         {{"maxHeaderBytes", 16384},
          {"maxBodyBytes", 262144},
          {"headerTimeoutMs", 3000},
          {"idleTimeoutMs", 15000}}},
        {"tenants", teams}};
}

} // namespace

int main(int argc, char **argv)
{
    Record record(recordPath(argc, argv));
    Folder folder;
    const std::vector<std::string> names{"front-1", "front-2", "front-3", "front-4"};
    std::map<std::string, Machine> machines;
    for (const std::string &name : names) {
        machines[name].name = name;
        machines[name].memoryMb = 400;
        machines[name].policies = "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
                                  "\"scatter\",\"tenants\",\"quota\",\"platform\"";
        machines[name].moreBounds = "quotaWindowS = 5\nquotaOverage = 0.1\nquotaSlack = 20\n";
    }
    // The network between the machines: one link for each direction of each pair.
    std::map<std::pair<std::string, std::string>, std::unique_ptr<Link>> links;
    for (const std::string &from : names) {
        for (const std::string &to : names) {
            if (from != to)
                links[{from, to}] = std::make_unique<Link>(machines[to].peer);
        }
    }
    Store store([&](const std::string &reader, const std::string &kind, const std::string &name,
                    json::value &spec) {
        const auto link = links.find({reader, name});
        if (kind == "gateways" && link != links.end())
            spec.as_object()["peer"] = "127.0.0.1:" + std::to_string(link->second->port());
    });
    std::vector<std::unique_ptr<Searcher>> searchers;
    for (int i = 1; i <= 3; ++i) {
        searchers.push_back(std::make_unique<Searcher>("i-hut" + std::to_string(i), "hutlist", 5));
        store.put("servers", searchers.back()->id(), searchers.back()->entry());
    }
    store.put("config", "main", config());
    std::vector<std::unique_ptr<Gateway>> gateways;
    for (const std::string &name : names) {
        Machine &machine = machines[name];
        machine.store = store.portFor(name);
        for (const std::string &to : names) {
            if (to != name)
                machine.seeds.push_back(links[{name, to}]->port());
        }
        gateways.push_back(std::make_unique<Gateway>(machine, folder));
    }
    if (!waitUntilReady(gateways, 15)) {
        record.line("the gateways did not become ready");
        finish(CouldNotRun, gateways, folder);
    }
    // Traffic starts 14 s after the machines do: time for the leases, too.
    sleepUntil(seconds() + 14);
    // A tenant whose quota one of the machines coordinates: the store shows the leases.
    std::string holder;
    for (const auto &[name, lease] : store.list("leases")) {
        record.line("lease " + name + ": " + json::serialize(lease.spec));
        if (name == "quota-0")
            holder = std::string(lease.spec.at("holder").as_string());
    }
    if (holder.empty()) {
        record.line("no lease quota-0 in the store");
        finish(CouldNotRun, gateways, folder);
    }
    std::string other = holder == names[0] ? names[1] : names[0];
    for (const auto &[name, lease] : store.list("leases")) {
        const std::string each(lease.spec.at("holder").as_string());
        if (!each.empty() && each != holder)
            other = each;
    }
    std::mutex mutex;
    std::map<std::string, double> sentAt; ///< by request id
    std::map<std::string, std::string> sentTo;
    std::map<std::string, std::string> tenantOf;
    std::map<std::pair<std::string, int>, int> answers; ///< by machine and status
    std::atomic<bool> isSending{true};
    std::vector<std::thread> clients;
    int number = 0;
    const std::string tenant = tenants.front();
    for (const std::string &to : {holder, other}) {
        for (int i = 0; i < 8; ++i) {
            clients.emplace_back([&, to, first = ++number] {
                int count = 0;
                double next = seconds() + 0.025 * first;
                while (isSending) {
                    sleepUntil(next);
                    next += 8 / sentPerSecond;
                    const std::string id = std::to_string(first) + "a" + std::to_string(++count);
                    const std::string request = "GET /card/" + id
                        + " HTTP/1.1\r\nHost: fida40.example\r\nX-Request-Id: " + id
                        + "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-" + tenant
                        + "\r\n\r\n";
                    {
                        const std::lock_guard lock(mutex);
                        sentAt[id] = seconds();
                        sentTo[id] = to;
                    }
                    const auto answer = ask(machines[to].front, request, 2);
                    const std::lock_guard lock(mutex);
                    ++answers[{to, answer ? answer->status() : 0}];
                }
            });
        }
    }
    sleepUntil(seconds() + 6);
    const double cutAt = seconds();
    if (isTrouble()) {
        record.line(holder + " is cut off: its connections to the store and to the other machines "
                             "are reset and refused");
        store.cut(holder);
        for (auto &[pair, link] : links) {
            if (pair.first == holder || pair.second == holder)
                link->cut();
        }
    }
    sleepUntil(cutAt + cutLength);
    if (isTrouble()) {
        record.line(holder + " is back");
        store.heal(holder);
        for (auto &[pair, link] : links) {
            if (pair.first == holder || pair.second == holder)
                link->heal();
        }
    }
    sleepUntil(cutAt + cutLength + 3);
    isSending = false;
    for (std::thread &client : clients)
        client.join();
    for (const auto &[name, lease] : store.list("leases"))
        record.line("lease " + name + ": " + json::serialize(lease.spec));
    for (const auto &gateway : gateways) {
        std::string how;
        if (gateway->hasEnded(how)) {
            record.line(gateway->machine().name + " has ended: " + how);
            finish(CouldNotRun, gateways, folder);
        }
    }
    for (const auto &[key, count] : answers)
        record.line(key.first + " answered " + std::to_string(key.second) + ": "
                    + std::to_string(count) + " times");
    struct Done
    {
        double sent;
        double run;
        std::string to;
    };
    std::map<std::string, Done> runs; ///< the first run of each request
    for (const auto &searcher : searchers) {
        for (const Searcher::Run &run : searcher->runs()) {
            auto &done = runs.try_emplace(run.id, Done{sentAt[run.id], run.at, sentTo[run.id]}).first->second;
            done.run = std::min(done.run, run.at);
        }
    }
    const double allowed = (rate * window + burst) * (1 + overage) + slack;
    std::size_t most = 0;
    double mostAt = 0;
    for (const auto &[id, first] : runs) {
        std::size_t count = 0;
        for (const auto &[each, done] : runs) {
            if (done.sent >= first.sent && done.run <= first.sent + window)
                ++count;
        }
        if (count > most) {
            most = count;
            mostAt = first.sent;
        }
    }
    std::map<std::string, int> byMachine;
    for (const auto &[id, done] : runs) {
        if (done.sent >= mostAt && done.run <= mostAt + window)
            ++byMachine[done.to];
    }
    record.line("most requests of " + tenant + " that were sent and run within " + text(window)
                + " s: " + std::to_string(most) + " from " + text(mostAt) + " ("
                + text(mostAt - cutAt) + " s after the cut), by " + holder + " "
                + std::to_string(byMachine[holder]) + ", by " + other + " "
                + std::to_string(byMachine[other]) + "; allowed: " + text(allowed));
    const bool isBroken = static_cast<double>(most) > allowed;
    record.line(isBroken ? "QUOTA is broken" : "QUOTA holds");
    finish(isBroken ? Broken : Held, gateways, folder);
}

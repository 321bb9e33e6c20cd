#include "control/ConfigImpact.h"

#include <algorithm>
#include <map>
#include <set>

namespace gwt {

namespace {

using Sentences = std::vector<std::string>;

std::string fromTo(const std::string &from, const std::string &to)
{
    return "from " + from + " to " + to;
}

void addSlices(const Config &before, const Config &after, Sentences &moves)
{
    std::set<std::string> slices(before.slices().begin(), before.slices().end());
    slices.insert(after.slices().begin(), after.slices().end());
    for (const std::string &slice : slices) {
        const std::string was = before.zoneOfSlice(slice);
        const std::string is = after.zoneOfSlice(slice);
        if (before.servicesOfSlice(slice).empty())
            moves.push_back("slice " + slice + " gets relays, most likely in " + is);
        else if (after.servicesOfSlice(slice).empty())
            moves.push_back("slice " + slice + " is given up by its relays");
        else if (was != is)
            moves.push_back("slice " + slice + " moves to other relays, " + fromTo(was, is));
    }
}

void addServices(const Config &before, const Config &after, Sentences &moves)
{
    for (const auto &[name, service] : after.set().services) {
        const Service *was = before.service(name);
        if (was && was->slice != service.slice) {
            moves.push_back("service " + name + " moves to other relays, "
                            + fromTo("slice " + was->slice, "slice " + service.slice));
        }
        if (was && was->index != service.index) {
            moves.push_back("service " + name + " changes its index, "
                            + fromTo(was->index, service.index));
        }
    }
}

void addServers(const Config &before, const Config &after, Sentences &moves)
{
    for (const auto &[name, server] : after.set().backendServers) {
        const BackendServer *was = before.backendServer(name);
        if (was && was->service != server.service) {
            moves.push_back("backend-server " + name + " leaves service " + was->service
                            + " for service " + server.service);
        }
        if (server.isDraining && !(was && was->isDraining))
            moves.push_back("backend-server " + name + " gets no new work");
        if (was && was->isDraining && !server.isDraining)
            moves.push_back("backend-server " + name + " gets work again");
    }
}

/// \brief Counts the slots of backend servers that aren't draining, by index.
std::map<std::string, int> slotsOf(const Config &config)
{
    std::map<std::string, int> slots;
    for (const auto &[name, service] : config.set().services) {
        for (const BackendServer *server : config.replicas(name))
            slots[service.index] += server->isDraining ? 0 : server->slots;
    }
    return slots;
}

void addSlots(const Config &before, const Config &after, Sentences &moves)
{
    std::map<std::string, int> was = slotsOf(before);
    std::map<std::string, int> is = slotsOf(after);
    std::map<std::string, int> all = was;
    all.insert(is.begin(), is.end());
    for (const auto &[index, unused] : all) {
        if (was[index] != is[index]) {
            moves.push_back("index " + index + " has slots "
                            + fromTo(std::to_string(was[index]), std::to_string(is[index])));
        }
    }
}

} // namespace

std::vector<std::string> describeImpact(const Config &before, const Config &after)
{
    Sentences moves;
    addSlices(before, after, moves);
    addServices(before, after, moves);
    addServers(before, after, moves);
    addSlots(before, after, moves);
    return moves;
}

std::vector<std::string> warningsOf(const Config &config)
{
    Sentences warnings;
    for (const auto &[name, service] : config.set().services) {
        const auto &replicas = config.replicas(name);
        const auto working = std::count_if(replicas.begin(), replicas.end(),
                                           [](const auto *server) { return !server->isDraining; });
        if (working == 0)
            warnings.push_back("service " + name + " has no backend-server that takes work");
        else if (working == 1)
            warnings.push_back("service " + name + " has one backend-server that takes work");
    }
    return warnings;
}

} // namespace gwt

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

void describeSlices(const Config &before, const Config &after, Sentences &impact)
{
    std::set<std::string> slices(before.slices().begin(), before.slices().end());
    slices.insert(after.slices().begin(), after.slices().end());
    for (const std::string &slice : slices) {
        const std::string oldZone = before.zoneOfSlice(slice);
        const std::string newZone = after.zoneOfSlice(slice);
        if (before.servicesOfSlice(slice).empty())
            impact.push_back("slice " + slice + " gets relays, most likely in " + newZone);
        else if (after.servicesOfSlice(slice).empty())
            impact.push_back("slice " + slice + " is given up by its relays");
        else if (oldZone != newZone)
            impact.push_back("slice " + slice + " moves to other relays, "
                             + fromTo(oldZone, newZone));
    }
}

void describeServices(const Config &before, const Config &after, Sentences &impact)
{
    for (const auto &[name, service] : after.set().services) {
        const Service *previous = before.service(name);
        if (previous && previous->slice != service.slice) {
            impact.push_back("service " + name + " moves to other relays, "
                             + fromTo("slice " + previous->slice, "slice " + service.slice));
        }
        if (previous && previous->index != service.index) {
            impact.push_back("service " + name + " changes its index, "
                             + fromTo(previous->index, service.index));
        }
    }
}

void describeServers(const Config &before, const Config &after, Sentences &impact)
{
    for (const auto &[name, server] : after.set().backendServers) {
        const BackendServer *previous = before.backendServer(name);
        if (previous && previous->service != server.service) {
            impact.push_back("backend-server " + name + " leaves service " + previous->service
                             + " for service " + server.service);
        }
        if (server.isDraining && !(previous && previous->isDraining))
            impact.push_back("backend-server " + name + " gets no new work");
        if (previous && previous->isDraining && !server.isDraining)
            impact.push_back("backend-server " + name + " gets work again");
    }
}

/// \brief Counts the slots of backend servers that aren't draining, by index.
std::map<std::string, int> activeSlotsByIndex(const Config &config)
{
    std::map<std::string, int> slots;
    for (const auto &[name, service] : config.set().services) {
        for (const BackendServer *server : config.replicas(name))
            slots[service.index] += server->isDraining ? 0 : server->slots;
    }
    return slots;
}

void describeSlots(const Config &before, const Config &after, Sentences &impact)
{
    std::map<std::string, int> oldSlots = activeSlotsByIndex(before);
    std::map<std::string, int> newSlots = activeSlotsByIndex(after);
    std::map<std::string, int> indexes = oldSlots;
    indexes.insert(newSlots.begin(), newSlots.end());
    for (const auto &[index, unused] : indexes) {
        if (oldSlots[index] != newSlots[index]) {
            impact.push_back(
                "index " + index + " has slots "
                + fromTo(std::to_string(oldSlots[index]), std::to_string(newSlots[index])));
        }
    }
}

} // namespace

std::vector<std::string> describeImpact(const Config &before, const Config &after)
{
    Sentences impact;
    describeSlices(before, after, impact);
    describeServices(before, after, impact);
    describeServers(before, after, impact);
    describeSlots(before, after, impact);
    return impact;
}

std::vector<std::string> warningsOf(const Config &config)
{
    Sentences warnings;
    for (const auto &[name, service] : config.set().services) {
        const auto &replicas = config.replicas(name);
        const auto active = std::count_if(replicas.begin(), replicas.end(),
                                          [](const auto *server) { return !server->isDraining; });
        if (active == 0)
            warnings.push_back("service " + name + " has no backend-server that takes work");
        else if (active == 1)
            warnings.push_back("service " + name + " has one backend-server that takes work");
    }
    return warnings;
}

} // namespace gwt

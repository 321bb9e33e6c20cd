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
        const std::string was = before.zoneOfSlice(slice);
        const std::string is = after.zoneOfSlice(slice);
        if (before.servicesOfSlice(slice).empty())
            impact.push_back("slice " + slice + " gets relays, most likely in " + is);
        else if (after.servicesOfSlice(slice).empty())
            impact.push_back("slice " + slice + " is given up by its relays");
        else if (was != is)
            impact.push_back("slice " + slice + " moves to other relays, " + fromTo(was, is));
    }
}

void describeServices(const Config &before, const Config &after, Sentences &impact)
{
    for (const auto &[name, service] : after.set().services) {
        const Service *was = before.service(name);
        if (was && was->slice != service.slice) {
            impact.push_back("service " + name + " moves to other relays, "
                             + fromTo("slice " + was->slice, "slice " + service.slice));
        }
        if (was && was->index != service.index) {
            impact.push_back("service " + name + " changes its index, "
                             + fromTo(was->index, service.index));
        }
    }
}

void describeServers(const Config &before, const Config &after, Sentences &impact)
{
    for (const auto &[name, server] : after.set().backendServers) {
        const BackendServer *was = before.backendServer(name);
        if (was && was->service != server.service) {
            impact.push_back("backend-server " + name + " leaves service " + was->service
                             + " for service " + server.service);
        }
        if (server.isDraining && !(was && was->isDraining))
            impact.push_back("backend-server " + name + " gets no new work");
        if (was && was->isDraining && !server.isDraining)
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
    std::map<std::string, int> was = activeSlotsByIndex(before);
    std::map<std::string, int> is = activeSlotsByIndex(after);
    std::map<std::string, int> all = was;
    all.insert(is.begin(), is.end());
    for (const auto &[index, unused] : all) {
        if (was[index] != is[index]) {
            impact.push_back("index " + index + " has slots "
                             + fromTo(std::to_string(was[index]), std::to_string(is[index])));
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

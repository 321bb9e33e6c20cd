#include "entry/queries/SnapshotPlanner.h"

#include <algorithm>

namespace gwt {

namespace {

constexpr std::chrono::seconds goneRetention{1};

} // namespace

void VersionTable::recordNewest(const std::string &service, std::uint64_t newest)
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t &known = m_newest[service];
    known = std::max(known, newest);
}

void VersionTable::recordGone(const std::string &service, std::uint64_t version, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_goneAt, [&](const auto &entry) { return now - entry.second > goneRetention; });
    m_goneAt[{service, version}] = now;
}

bool VersionTable::mayServe(const std::string &service, std::uint64_t version, TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    const auto gone = m_goneAt.find({service, version});
    if (gone != m_goneAt.end() && now - gone->second <= goneRetention)
        return false;
    const auto newest = m_newest.find(service);
    const bool isUnknown = newest == m_newest.end() || newest->second == 0;
    return isUnknown || newest->second >= version;
}

std::shared_ptr<const IndexVersion>
selectVersion(const std::vector<std::shared_ptr<const IndexVersion>> &versions,
              const Config &config, const VersionTable &table, const std::set<std::uint64_t> &tried,
              TimePoint now)
{
    const std::vector<std::shared_ptr<const IndexVersion>> newestFirst(versions.rbegin(),
                                                                       versions.rend());
    std::shared_ptr<const IndexVersion> newest;
    for (const auto &version : newestFirst) {
        if (tried.count(version->version) > 0)
            continue;
        const auto isServable = [&](const std::string &service) {
            return config.service(service) && table.mayServe(service, version->version, now);
        };
        const std::vector<std::string> &services = version->services;
        if (std::all_of(services.begin(), services.end(), isServable))
            return version;
        if (!newest)
            newest = version;
    }
    return newest;
}

SnapshotPlan makePlan(const Config &config, std::shared_ptr<const IndexVersion> version,
                      const std::vector<std::string> &skipped)
{
    SnapshotPlan plan;
    plan.version = std::move(version);
    for (const std::string &name : plan.version->services) {
        if (std::find(skipped.begin(), skipped.end(), name) != skipped.end())
            continue;
        const Service *service = config.service(name);
        if (service)
            plan.servicesBySlice[service->slice].push_back(name);
        else
            plan.unconfigured.push_back(name);
    }
    return plan;
}

} // namespace gwt

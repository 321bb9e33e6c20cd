#pragma once

#include "common/Time.h"
#include "control/ConfigHolder.h"

#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace gwt {

/// \brief Index versions that each service serves, learnt from the relays' replies. Thread-safe.
class VersionTable
{
public:
    /// \brief Records that \a service serves version \a newest.
    void recordNewest(const std::string &service, std::uint64_t newest);
    /// \brief Records that \a service no longer serves \a version.
    void recordGone(const std::string &service, std::uint64_t version, TimePoint now);
    /// \brief Whether \a service may serve \a version; true if nothing is known.
    ///
    /// A version counts as gone for only one second, since a rollover reaches the replicas one
    /// after another.
    bool mayServe(const std::string &service, std::uint64_t version, TimePoint now) const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_newest;
    std::map<std::pair<std::string, std::uint64_t>, TimePoint> m_goneAt;
};

/// \brief The index version that a query runs on, and the services to call.
struct SnapshotPlan
{
    std::shared_ptr<const IndexVersion> version; ///< null if none is known
    std::map<std::string, std::vector<std::string>> servicesBySlice;
    std::vector<std::string> unconfigured; ///< shards of the version without a configured service
};

/// \brief Selects the highest of \a versions (oldest first) that all its services may serve and
/// whose services are all in \a config.
///
/// Falls back to the newest version if there is none. Versions in \a tried are left out; returns
/// null if none remains.
std::shared_ptr<const IndexVersion>
selectVersion(const std::vector<std::shared_ptr<const IndexVersion>> &versions,
              const Config &config, const VersionTable &table, const std::set<std::uint64_t> &tried,
              TimePoint now);

/// \brief Plans a query on \a version with the services of \a config, without those in \a skipped.
SnapshotPlan makePlan(const Config &config, std::shared_ptr<const IndexVersion> version,
                      const std::vector<std::string> &skipped);

} // namespace gwt

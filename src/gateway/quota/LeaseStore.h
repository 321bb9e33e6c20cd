#pragma once

#include "common/Outcome.h"
#include "common/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace gwt {

/// \brief Record in the platform's store of which process coordinates a range of teams.
struct Lease
{
    std::string holder; ///< name of a host; empty: released
    std::string incarnation; ///< of the process of the holder
    std::uint64_t term = 0; ///< rises by one with each change of the holder
    std::uint64_t revision = 0; ///< of the object, with the store's era; 0: there is none
    std::uint64_t era = 0; ///< of the store in which it was written
    /// Hosts without whose votes the holder does not act; none: it acts by its proof alone.
    std::vector<std::string> voters = {};

    bool operator==(const Lease &) const = default;
};

/// \brief Leases by name.
using LeaseTable = std::map<std::string, Lease>;

/// \brief Follows and changes the leases in the platform's store.
class LeaseStore
{
public:
    /// \brief Called with all leases as of \a revision of the store.
    using TableHandler = std::function<void(const LeaseTable &leases, std::uint64_t revision)>;
    /// \brief Called when the store has returned from an older copy, before the leases are read
    /// anew; provenAt() is still that of the earlier era.
    using EraHandler = std::function<void()>;
    using WriteHandler = std::function<void(Outcome<Lease>)>;

    virtual ~LeaseStore() = default;

    /// \brief Starts following the leases; \a handler runs after each change.
    virtual void startWatching(TableHandler handler, EraHandler onNewEra) = 0;
    virtual void stopWatching() = 0;
    /// \brief Time as of which all changes are certainly reported; the epoch if unknown.
    virtual TimePoint provenAt() const = 0;
    /// \brief Writes \a lease if the object still has its revision, or does not exist for 0.
    virtual void write(const std::string &name, const Lease &lease, WriteHandler handler) = 0;
};

} // namespace gwt

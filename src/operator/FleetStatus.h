#pragma once

#include "membership/Member.h"
#include "operator/OperatorContext.h"

#include <boost/json.hpp>

#include <vector>

namespace gwt {

/// \brief One daemon's reply to a status request, or the fact that it did not reply.
struct DaemonReply
{
    std::string label; ///< the daemon's name if it replied, else its address or ROLE@HOST
    Endpoint admin;
    bool hasReplied = false;
    std::string state; ///< "priming", "ready" or "draining"
    std::uint64_t generation = 0;
    boost::json::object body; ///< the whole reply body
};

/// \brief Admin ports of the daemons on a host; the host list holds no ports.
inline constexpr std::uint16_t entryAdminPort = 7101;
inline constexpr std::uint16_t relayAdminPort = 7102;
inline constexpr std::uint16_t bookingAdminPort = 7103;

/// \brief Fetches \a page from all daemons: those of --admin, or of each live host in the list.
///
/// Errors: those of HostList::hosts().
Outcome<std::vector<DaemonReply>> queryFleet(OperatorContext &context,
                                             const OperatorOptions &options,
                                             const std::string &page = "/status");

/// \brief Collects the members that the daemons report. If daemons differ on a member, the first
/// report of it is used.
MemberList membersOf(const std::vector<DaemonReply> &fleet);

} // namespace gwt

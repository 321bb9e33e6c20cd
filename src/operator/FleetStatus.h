#pragma once

#include "membership/Member.h"
#include "operator/OperatorContext.h"

#include <boost/json.hpp>

#include <vector>

namespace gwt {

/// \brief What one daemon says of itself, or that it does not answer.
struct DaemonStatus
{
    std::string label; ///< its name if it answers, else where it was asked
    Endpoint admin;
    bool isAnswering = false;
    std::string state; ///< "priming", "ready" or "draining"
    std::uint64_t generation = 0;
    boost::json::object json; ///< /status as a whole
};

/// \brief Ports of the daemons' admin listeners where the host list names only hosts.
inline constexpr std::uint16_t entryAdminPort = 7101;
inline constexpr std::uint16_t relayAdminPort = 7102;
inline constexpr std::uint16_t bookingAdminPort = 7103;

/// \brief Asks the \a page of all daemons: those of --admin, or of each live host of the list.
///
/// Errors: those of HostList::hosts().
Outcome<std::vector<DaemonStatus>> askFleet(OperatorContext &context,
                                            const OperatorOptions &options,
                                            const std::string &page = "/status");

/// \brief The members that the answering daemons see; each as the first daemon that names it
/// describes it.
MemberList membersOf(const std::vector<DaemonStatus> &fleet);

} // namespace gwt

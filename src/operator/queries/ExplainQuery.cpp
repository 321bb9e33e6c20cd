#include "operator/queries/ExplainQuery.h"

#include "control/BookingKeys.h"
#include "control/ConfigChecker.h"
#include "membership/Ownership.h"
#include "operator/FleetStatus.h"
#include "operator/queries/RequestQuery.h"

namespace gwt {

namespace json = boost::json;

namespace {

/// \brief Key, zone and role that determine the owners of a service or booking, and the reason.
struct OwnershipLookup
{
    std::string key;
    std::string zone;
    Role role = Role::Relay;
    std::string reason;
};

Outcome<OwnershipLookup> serviceOwnership(const Config &config, const std::string &name)
{
    const Service *service = config.service(name);
    if (!service) {
        std::vector<std::string> names;
        for (const auto &[known, object] : config.set().services)
            names.push_back(known);
        const std::string nearest = nearestName(name, names);
        return Error(ErrorCode::NotFound, "no_such_service",
                     name + (nearest.empty() ? "" : "; did you mean \"" + nearest + "\"?"));
    }
    const std::string zone = config.zoneOfSlice(service->slice);
    return OwnershipLookup{
        service->slice, zone, Role::Relay,
        "service " + name + " belongs to slice " + service->slice
            + "; most of the slice's backend servers are in " + zone + ", whose relays have "
            + std::to_string(static_cast<int>(sameZoneWeight)) + " times the weight"};
}

OwnershipLookup bookingOwnership(const std::string &key)
{
    const int range = bookingRangeOf(key);
    return {journalKey(range), "", Role::Booking,
            "the key hashes into range " + std::to_string(range) + " of "
                + std::to_string(bookingRangeCount) + ", stored under " + journalKey(range)};
}

OperatorReport reportOwners(const OwnershipLookup &lookup, const MemberList &members)
{
    OperatorReport report;
    report.text = lookup.reason + "\n";
    json::array list;
    for (const Member &owner :
         ownersOf(lookup.key, lookup.zone, lookup.role, members, sliceOwnerCount)) {
        report.text += (list.empty() ? "owner: " : "takes over: ") + owner.id + " in "
            + owner.availabilityZone + ", " + std::string(toString(owner.state)) + "\n";
        list.push_back(json::object{{"id", owner.id},
                                    {"availability_zone", owner.availabilityZone},
                                    {"state", std::string(toString(owner.state))}});
    }
    if (list.empty()) {
        report.text
            += "no responding daemon reports a ready " + std::string(toString(lookup.role)) + "\n";
        report.exitStatus = exitFailure;
    }
    report.json = {{"key", lookup.key}, {"reason", lookup.reason}, {"owners", std::move(list)}};
    return report;
}

} // namespace

OperatorReport runExplain(OperatorContext &context, const OperatorOptions &options)
{
    const bool hasKind = options.arguments.size() == 2;
    if (hasKind && options.arguments[0] == "request")
        return explainRequest(context, options, options.arguments[1]);
    const bool isBooking = hasKind && options.arguments[0] == "booking";
    if (!isBooking && options.arguments.size() != 1) {
        const Error error(ErrorCode::InvalidArgument, "usage",
                          "explain SERVICE | booking KEY | request ID");
        OperatorReport report = OperatorReport::failure("cannot explain", error);
        report.exitStatus = exitUsage;
        return report;
    }
    Outcome<OwnershipLookup> lookup = OwnershipLookup();
    if (isBooking) {
        lookup = bookingOwnership(options.arguments[1]);
    } else {
        const auto head = context.run(context.reader().current(OperatorContext::deadline()));
        if (!isOk(head))
            return OperatorReport::failure("cannot explain", errorOf(head));
        lookup = serviceOwnership(*valueOf(head), options.arguments[0]);
    }
    if (!isOk(lookup))
        return OperatorReport::failure("cannot explain", errorOf(lookup));
    const auto fleet = queryFleet(context, options);
    if (!isOk(fleet))
        return OperatorReport::failure("no host list", errorOf(fleet));
    return reportOwners(valueOf(lookup), membersOf(valueOf(fleet)));
}

} // namespace gwt

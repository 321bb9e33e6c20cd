#pragma once

#include "gateway/backends/BackendRegistry.h"
#include "gateway/routing/Route.h"
#include "gateway/sharing/FleetMember.h"

#include <gateway.pb.h>

namespace gwt {

/// \brief Conversions between the project's types and the messages between gateways.
void encode(const RoutingConfig &config, wire::RoutingConfigMessage &message);
void encode(const BackendChange &change, wire::BackendChangeMessage &message);
void encode(const FleetMember &member, wire::MemberMessage &message);
RoutingConfig decode(const wire::RoutingConfigMessage &message);
BackendChange decode(const wire::BackendChangeMessage &message);
FleetMember decode(const wire::MemberMessage &message);

} // namespace gwt

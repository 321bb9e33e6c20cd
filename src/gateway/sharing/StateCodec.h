#pragma once

#include "gateway/backends/BackendRegistry.h"
#include "gateway/routing/Route.h"
#include "gateway/sharing/FleetMember.h"

#include <gateway.pb.h>

namespace gwt {

/// \brief Converts between the gateway's types and the messages that gateways exchange.
void encode(const RoutingConfig &config, wire::RoutingConfigMessage &message);
void encode(const RequestLimits &limits, wire::RoutingConfigMessage &message);
void encode(const Route &route, wire::RouteMessage &message);
void encode(const ServiceSpec &service, wire::ServiceMessage &message);
void encode(const BackendChange &change, wire::BackendChangeMessage &message);
void encode(const FleetMember &member, wire::MemberMessage &message);
RoutingConfig decode(const wire::RoutingConfigMessage &message);
RequestLimits decodeLimits(const wire::RoutingConfigMessage &message);
Route decode(const wire::RouteMessage &message);
ServiceSpec decode(const wire::ServiceMessage &message);
void encode(const Team &team, wire::TeamMessage &message);
Team decode(const wire::TeamMessage &message);
BackendChange decode(const wire::BackendChangeMessage &message);
FleetMember decode(const wire::MemberMessage &message);

/// \brief Hash of the serialized message, the same in all processes.
std::uint64_t digestOf(const google::protobuf::MessageLite &message);

} // namespace gwt

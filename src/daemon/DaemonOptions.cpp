#include "daemon/DaemonOptions.h"

namespace gwt {

namespace {

constexpr Milliseconds maxDrain{600'000};
constexpr std::int64_t minMemoryMb = 32; ///< the program alone takes most of it
constexpr std::int64_t maxMemoryMb = 1 << 20;
constexpr std::int64_t minFds = 64;
constexpr std::int64_t maxFds = 1 << 20;

std::uint16_t readPort(Settings &settings, const std::string &key, std::int64_t fallback)
{
    return static_cast<std::uint16_t>(settings.integer(key, fallback, 1, 65535));
}

/// \brief The address in \a key, or \a fallback if the key is absent.
Endpoint readEndpoint(Settings &settings, const std::string &key, const Endpoint &fallback)
{
    return settings.text(key, "").empty() ? fallback : settings.endpoint(key);
}

} // namespace

DaemonOptions DaemonOptions::read(Settings &settings, Role role)
{
    DaemonOptions options;
    options.name = settings.text("daemon.name");
    options.host = settings.text("daemon.host");
    options.availabilityZone = settings.text("daemon.availability_zone");
    options.admin = settings.endpoint("daemon.admin");
    options.peer = settings.endpoint("daemon.peer");
    options.workers = static_cast<int>(settings.integer("daemon.workers", 2, 1, 256));
    options.logLevel
        = settings.choice("daemon.log_level", "info", {"debug", "info", "warn", "error"});
    options.drainInterval = settings.duration("daemon.drain_interval_ms", Milliseconds(2000),
                                              Milliseconds(0), maxDrain);
    options.drainBound = settings.duration("daemon.drain_bound_ms", Milliseconds(30'000),
                                           Milliseconds(0), maxDrain);
    options.platform = settings.endpoint("platform.address");
    options.hostPrefix = settings.text("membership.host_prefix", "host-");
    options.peerPorts[Role::Entry] = readPort(settings, "membership.entry_port", 7301);
    options.peerPorts[Role::Relay] = readPort(settings, "membership.relay_port", 7302);
    options.peerPorts[Role::Booking] = readPort(settings, "membership.booking_port", 7303);
    options.gossipPorts[Role::Entry] = readPort(settings, "membership.entry_gossip_port", 7201);
    options.gossipPorts[Role::Relay] = readPort(settings, "membership.relay_gossip_port", 7202);
    options.gossipPorts[Role::Booking] = readPort(settings, "membership.booking_gossip_port", 7203);
    options.role = role;
    options.gossip = readEndpoint(settings, "membership.listen",
                                  {options.peer.address, options.gossipPorts[role]});
    options.hostLimits.memoryMb = static_cast<std::size_t>(
        settings.integer("limits.memory_mb", 256, minMemoryMb, maxMemoryMb));
    options.hostLimits.maxFds
        = static_cast<int>(settings.integer("limits.max_fds", maxFds, minFds, maxFds));
    options.hostLimits = options.hostLimits.withinSystem();
    options.seeds = settings.endpoints("membership.seeds");
    return options;
}

} // namespace gwt

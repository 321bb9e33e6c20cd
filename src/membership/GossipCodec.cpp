#include "membership/GossipCodec.h"

#include <gossip.pb.h>

#include <algorithm>

namespace gwt {

namespace {

constexpr std::size_t maxNameBytes = 200;
constexpr std::size_t memberOverhead = 56; ///< tags, lengths and numbers of one member
constexpr std::size_t headerOverhead = 48; ///< tags, lengths and numbers of a datagram
constexpr std::size_t addressBytes = 48; ///< longest IP:PORT

wire::GossipMember toWire(const Member &member)
{
    wire::GossipMember result;
    result.set_id(member.id);
    result.set_role(static_cast<std::uint32_t>(member.role));
    result.set_host(member.host);
    result.set_availability_zone(member.availabilityZone);
    result.set_peer_address(toString(member.peerAddress));
    result.set_gossip_address(toString(member.gossipAddress));
    result.set_state(static_cast<std::uint32_t>(member.state));
    result.set_is_ready(member.isReady);
    result.set_incarnation(member.incarnation);
    result.set_generation(member.generation);
    return result;
}

/// \brief True for 1 to maxNameBytes printable ASCII characters without spaces.
bool isName(const std::string &text)
{
    const auto isPrintable = [](char c) { return c > ' ' && c <= '~'; };
    return !text.empty() && text.size() <= maxNameBytes
        && std::all_of(text.begin(), text.end(), isPrintable);
}

Outcome<Member> toMember(const wire::GossipMember &wire)
{
    const Error bad{ErrorCode::Malformed, "bad_member", wire.id().substr(0, maxNameBytes)};
    const Outcome<Endpoint> peer = parseEndpoint(wire.peer_address());
    const Outcome<Endpoint> gossip = parseEndpoint(wire.gossip_address());
    const bool hasValidNames
        = isName(wire.id()) && isName(wire.host()) && isName(wire.availability_zone());
    const bool hasValidEnums = wire.role() <= static_cast<std::uint32_t>(Role::Booking)
        && wire.state() <= static_cast<std::uint32_t>(MemberState::Dead);
    if (!isOk(peer) || !isOk(gossip) || !hasValidNames || !hasValidEnums)
        return bad;
    Member member;
    member.id = wire.id();
    member.role = static_cast<Role>(wire.role());
    member.host = wire.host();
    member.availabilityZone = wire.availability_zone();
    member.peerAddress = valueOf(peer);
    member.gossipAddress = valueOf(gossip);
    member.state = static_cast<MemberState>(wire.state());
    member.isReady = wire.is_ready();
    member.incarnation = wire.incarnation();
    member.generation = wire.generation();
    return member;
}

} // namespace

std::string encodeGossip(const GossipMessage &message)
{
    wire::GossipDatagram datagram;
    datagram.set_kind(static_cast<wire::GossipDatagram::Kind>(message.kind));
    datagram.set_from(message.from);
    datagram.set_sequence(message.sequence);
    datagram.set_target(message.target);
    if (message.kind == GossipKind::PingRequest)
        datagram.set_target_address(toString(message.targetAddress));
    for (const std::uint64_t digest : message.digests)
        datagram.add_digests(digest);
    datagram.set_reply_limit(message.replyLimit);
    for (const Member &member : message.updates)
        *datagram.add_updates() = toWire(member);
    return datagram.SerializeAsString();
}

Outcome<GossipMessage> decodeGossip(std::string_view bytes)
{
    const Error bad{ErrorCode::Malformed, "bad_datagram", ""};
    wire::GossipDatagram datagram;
    if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return bad;
    const bool isKnownKind = datagram.kind() >= wire::GossipDatagram::PING
        && datagram.kind() <= wire::GossipDatagram::SYNC_BACK;
    if (!isKnownKind || !isName(datagram.from()) || datagram.target().size() > maxNameBytes)
        return bad;
    GossipMessage message;
    message.kind = static_cast<GossipKind>(datagram.kind());
    message.from = datagram.from();
    message.sequence = datagram.sequence();
    message.target = datagram.target();
    if (message.kind == GossipKind::PingRequest) {
        const Outcome<Endpoint> address = parseEndpoint(datagram.target_address());
        if (!isOk(address))
            return bad;
        message.targetAddress = valueOf(address);
    }
    message.digests.assign(datagram.digests().begin(), datagram.digests().end());
    message.replyLimit = datagram.reply_limit();
    for (const wire::GossipMember &wire : datagram.updates()) {
        Outcome<Member> member = toMember(wire);
        if (!isOk(member))
            return errorOf(member);
        message.updates.push_back(std::move(valueOf(member)));
    }
    return message;
}

std::size_t maxEncodedSize(const Member &member)
{
    return memberOverhead + member.id.size() + member.host.size() + member.availabilityZone.size()
        + member.peerAddress.address.size() + member.gossipAddress.address.size();
}

std::size_t maxHeaderSize(const GossipMessage &message)
{
    const std::size_t address = message.kind == GossipKind::PingRequest ? addressBytes : 0;
    return headerOverhead + address + message.from.size() + message.target.size()
        + message.digests.size() * sizeof(std::uint64_t);
}

} // namespace gwt

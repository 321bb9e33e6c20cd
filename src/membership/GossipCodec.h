#pragma once

#include "common/Outcome.h"
#include "membership/GossipMessage.h"

#include <string>
#include <string_view>

namespace gwt {

std::string encodeGossip(const GossipMessage &message);

/// \brief Decodes a datagram and validates every field. Errors: Malformed "bad_datagram" or
/// "bad_member".
Outcome<GossipMessage> decodeGossip(std::string_view bytes);

/// \brief Upper bound of the encoded size of \a member in a datagram, in bytes.
std::size_t maxEncodedSize(const Member &member);

/// \brief Upper bound of the encoded size of \a message without its updates, in bytes.
std::size_t maxHeaderSize(const GossipMessage &message);

} // namespace gwt

#pragma once

#include "common/Time.h"

#include <string>

namespace gwt {

/// \brief How far a request has got that has no complete response yet.
enum class RequestStage {
    Receiving, ///< bytes have arrived, read or not
    InFlight, ///< it is being handled
    Answering ///< its response is partly written
};

/// \brief Returns the stable lower-case name of \a stage, as used in logs and metrics.
inline const char *toString(RequestStage stage)
{
    switch (stage) {
    case RequestStage::Receiving:
        return "receiving";
    case RequestStage::InFlight:
        return "in_flight";
    case RequestStage::Answering:
        return "answering";
    }
    return "";
}

/// \brief A request on a caller's connection without a complete response.
struct OpenRequest
{
    std::string id; ///< empty until its header has been read
    RequestStage stage = RequestStage::Receiving;
    Duration age{0}; ///< since its first byte was read
};

} // namespace gwt

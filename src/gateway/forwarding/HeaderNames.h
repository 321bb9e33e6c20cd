#pragma once

#include <string>

namespace gwt {

/// \brief Names of the header fields that callers, the gateway and backend servers exchange.
///
/// They depend on the platform that the gateway runs on.
struct HeaderNames
{
    std::string requestId; ///< echoed by backend servers; new for each attempt of a caller
    std::string deadline; ///< milliseconds that the sender will wait
    std::string targetServer; ///< id of the only backend server that may run the request
    std::string serverId; ///< id of the backend server that sent the response
    std::string notRun; ///< present: the backend server did not run the request
    std::string leaving; ///< present, and not "0": the backend server is about to end
    std::string signature; ///< proves that a backend server produced the response
    std::string partSignatures; ///< signatures of the shards in a merged answer
    std::string team; ///< name of the team of the caller, for backend servers
    std::string authorization; ///< carries the API key of a caller
    std::string serverLoad; ///< load that a backend server reports; empty: none
    std::string missingParts; ///< number of shards that are not in a merged answer
};

} // namespace gwt

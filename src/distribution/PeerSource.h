#pragma once

#include "common/Endpoint.h"
#include "distribution/ConfigSource.h"
#include "distribution/VerifiedConfig.h"
#include "peer/PeerClient.h"

namespace gwt {

/// \brief Paths on which daemons serve their configuration to peers.
inline const std::string configHeadPath = "/config/head";
inline const std::string configChunkPath = "/config/chunk";
inline const std::string configIndexesPath = "/config/indexes";

/// \brief Reads generations and index versions from another daemon.
class PeerSource : public ConfigSource
{
public:
    PeerSource(PeerClient &client, Endpoint remote);

    Task<Outcome<SourceHead>> head(TimePoint deadline) override;
    Task<Outcome<std::string>> content(std::string key, TimePoint deadline) override;
    /// \brief Fetches all index versions. Errors: Malformed, those of PeerClient::call().
    Task<Outcome<IndexSnapshot>> indexes(TimePoint deadline);

private:
    PeerClient &m_client;
    Endpoint m_remote;
};

} // namespace gwt

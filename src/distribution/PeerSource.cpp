#include "distribution/PeerSource.h"

#include "control/ConfigCodec.h"
#include "peer/PeerCodec.h"

#include <distribution.pb.h>

namespace gwt {

namespace {

const std::string requestId = "config";

} // namespace

PeerSource::PeerSource(PeerClient &client, Endpoint remote)
    : m_client(client)
    , m_remote(std::move(remote))
{ }

Task<Outcome<SourceHead>> PeerSource::head(TimePoint deadline)
{
    const wire::ConfigHeadRequest request;
    const CancelToken cancel;
    const auto reply = co_await callPeer<wire::ConfigHeadReply>(
        m_client, m_remote, configHeadPath, request, requestId, deadline, cancel);
    if (!isOk(reply))
        co_return errorOf(reply);
    SourceHead head;
    head.generation = valueOf(reply).generation();
    head.manifestHash = valueOf(reply).manifest_hash();
    head.indexRevision = valueOf(reply).index_revision();
    head.indexDigest = valueOf(reply).index_digest();
    if (valueOf(reply).has_store_age_ms())
        head.storeAge = Milliseconds(valueOf(reply).store_age_ms());
    co_return head;
}

Task<Outcome<std::string>> PeerSource::content(std::string key, TimePoint deadline)
{
    wire::ConfigChunkRequest request;
    request.set_key(key);
    const CancelToken cancel;
    const auto reply = co_await callPeer<wire::ConfigChunkReply>(
        m_client, m_remote, configChunkPath, request, requestId, deadline, cancel);
    if (!isOk(reply))
        co_return errorOf(reply);
    if (!valueOf(reply).found())
        co_return Error(ErrorCode::NotFound, "not_held", key);
    co_return valueOf(reply).content();
}

Task<Outcome<IndexSnapshot>> PeerSource::indexes(TimePoint deadline)
{
    const wire::IndexVersionsRequest request;
    const CancelToken cancel;
    const auto reply = co_await callPeer<wire::IndexVersionsReply>(
        m_client, m_remote, configIndexesPath, request, requestId, deadline, cancel);
    if (!isOk(reply))
        co_return errorOf(reply);
    IndexSnapshot indexes;
    indexes.revision = valueOf(reply).revision();
    for (const std::string &content : valueOf(reply).versions()) {
        Outcome<IndexVersion> version = decodeIndexVersion(content);
        if (!isOk(version))
            co_return errorOf(version);
        indexes.versions.push_back(std::move(valueOf(version)));
    }
    indexes.digest = indexDigest(indexes.versions);
    co_return indexes;
}

} // namespace gwt

#include "membership/internal/GossipSender.h"

#include "membership/GossipCodec.h"

#include <cmath>

namespace gwt::internal {

std::size_t randomIndex(std::size_t size, RandomEngine &random)
{
    return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
}

GossipSender::GossipSender(const GossipOptions &options, const Member &self,
                           const MemberTable &table)
    : m_options(options)
    , m_self(self)
    , m_table(table)
{ }

GossipMessage GossipSender::makeMessage(GossipKind kind) const
{
    GossipMessage message;
    message.kind = kind;
    message.from = m_self.id;
    return message;
}

void GossipSender::piggyback(GossipMessage &message, const std::string &receiver)
{
    std::size_t size = maxHeaderSize(message);
    const Member *receiverEntry = m_table.find(receiver);
    const bool needsRefutation = receiverEntry
        && (receiverEntry->state == MemberState::Suspect
            || receiverEntry->state == MemberState::Dead);
    if (needsRefutation) {
        message.updates.push_back(*receiverEntry);
        size += maxEncodedSize(*receiverEntry);
    }
    const auto fits = [&](const std::string &id) {
        const Member *member = m_table.find(id);
        size += member ? maxEncodedSize(*member) : 0;
        return size <= m_options.maxDatagramBytes;
    };
    for (const std::string &id : m_pendingUpdates.nextBatch(transmitLimit(), fits)) {
        if (const Member *member = m_table.find(id))
            message.updates.push_back(*member);
    }
}

void GossipSender::send(const Endpoint &to, GossipMessage message, GossipOutputs &outputs) const
{
    if (to != m_self.gossipAddress)
        outputs.push_back({to, std::move(message)});
}

void GossipSender::sendPendingUpdates(RandomEngine &random, GossipOutputs &outputs)
{
    for (std::size_t i = 0; i < m_options.gossipFanout && !m_pendingUpdates.empty(); ++i) {
        const Member *receiver = randomMember(random);
        if (!receiver)
            return;
        GossipMessage message = makeMessage(GossipKind::Updates);
        piggyback(message, receiver->id);
        send(receiver->gossipAddress, std::move(message), outputs);
    }
}

const Member *GossipSender::randomMember(RandomEngine &random) const
{
    const std::vector<std::string> &liveIds = m_table.liveIds();
    constexpr int attempts = 4;
    for (int i = 0; i < attempts && liveIds.size() > 1; ++i) {
        const std::string &id = liveIds[randomIndex(liveIds.size(), random)];
        if (id != m_self.id)
            return m_table.find(id);
    }
    return nullptr;
}

int GossipSender::transmitLimit() const
{
    const double members = static_cast<double>(m_table.liveIds().size() + 1);
    return static_cast<int>(std::ceil(m_options.transmitFactor * std::log(members)));
}

} // namespace gwt::internal

#pragma once

#include "common/Random.h"
#include "membership/GossipMessage.h"
#include "membership/GossipOptions.h"
#include "membership/MemberTable.h"
#include "membership/UpdateQueue.h"

namespace gwt::internal {

/// \brief Builds the datagrams of one member and piggybacks its pending updates on them.
class GossipSender
{
public:
    /// \brief Keeps references to all three arguments.
    GossipSender(const GossipOptions &options, const Member &self, const MemberTable &table);

    /// \brief Queues an update of member \a id, to be sent a limited number of times.
    void queueUpdate(const std::string &id) { m_pendingUpdates.add(id); }

    GossipMessage makeMessage(GossipKind kind) const;
    /// \brief Adds the state of \a receiver if that is suspect or dead, so that it can refute it,
    /// then pending updates as far as they fit.
    void piggyback(GossipMessage &message, const std::string &receiver);
    /// \brief Appends \a message to \a outputs unless \a to is this member itself.
    void send(const Endpoint &to, GossipMessage message, GossipOutputs &outputs) const;
    /// \brief Sends pending updates to random members.
    void sendPendingUpdates(RandomEngine &random, GossipOutputs &outputs);

    bool isSelf(const std::string &id) const { return id == m_self.id; }
    /// \brief A random live member other than this one; nullptr if none was found.
    const Member *randomMember(RandomEngine &random) const;

private:
    int transmitLimit() const;

    const GossipOptions &m_options;
    const Member &m_self;
    const MemberTable &m_table;
    UpdateQueue m_pendingUpdates;
};

/// \brief A random index below \a size, which is above 0.
std::size_t randomIndex(std::size_t size, RandomEngine &random);

} // namespace gwt::internal

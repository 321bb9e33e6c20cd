#pragma once

#include "membership/Membership.h"

#include <gtest/gtest.h>

#include <functional>
#include <queue>

namespace gwt {

inline constexpr Milliseconds tickInterval{50};

inline Member makeMember(int number)
{
    Member member;
    member.id = "relay@host-" + std::to_string(number);
    member.role = Role::Relay;
    member.host = "host-" + std::to_string(number);
    member.availabilityZone = "az-" + std::to_string(number % 3);
    member.peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(20000 + number)};
    member.gossipAddress = {"127.0.0.1", static_cast<std::uint16_t>(10000 + number)};
    member.incarnation = 1'000'000;
    return member;
}

/// \brief Runs many gossip cores on one simulated network with its own clock and a fixed seed.
class SimulatedFleet
{
public:
    SimulatedFleet(int size, std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < size; ++i) {
            m_nodes.emplace_back().core
                = std::make_unique<GossipCore>(makeMember(i), GossipOptions{});
            core(i).setSeeds({makeMember(0).gossipAddress, makeMember(1).gossipAddress});
        }
    }

    GossipCore &core(int number) { return *m_nodes[static_cast<std::size_t>(number)].core; }
    int size() const { return static_cast<int>(m_nodes.size()); }

    void setLoss(double loss) { m_loss = loss; }
    /// \brief Drops all datagrams between two members for which \a isBlocked holds.
    void setBlockedLinks(std::function<bool(int from, int to)> isBlocked)
    {
        m_isBlocked = std::move(isBlocked);
    }
    void setPaused(int number, bool isPaused) { node(number).isPaused = isPaused; }
    void kill(int number) { node(number).isDown = true; }

    void restart(int number)
    {
        Member member = makeMember(number);
        member.incarnation = core(number).self().incarnation + 100'000;
        node(number).core = std::make_unique<GossipCore>(member, GossipOptions{});
        core(number).setSeeds({makeMember(0).gossipAddress, makeMember(1).gossipAddress});
        node(number).isDown = false;
    }

    void run(Milliseconds duration)
    {
        const TimePoint end = m_now + duration;
        while (m_now < end)
            step();
    }

    /// \brief Runs until \a isTrue holds, at most for \a timeout. Returns the time that passed;
    /// nullopt if it does not hold by then.
    std::optional<Milliseconds> runUntil(const std::function<bool()> &isTrue, Milliseconds timeout)
    {
        const TimePoint start = m_now;
        while (!isTrue()) {
            if (m_now - start >= timeout)
                return std::nullopt;
            run(tickInterval);
        }
        return std::chrono::duration_cast<Milliseconds>(m_now - start);
    }

    std::optional<MemberState> stateSeenBy(int observer, int subject)
    {
        for (const Member &member : core(observer).members()) {
            if (member.id == makeMember(subject).id)
                return member.state;
        }
        return std::nullopt;
    }

    /// \brief True if all running members other than \a subject see it in \a state; nullopt stands
    /// for a dead or unknown member.
    bool allSeeState(int subject, std::optional<MemberState> state)
    {
        for (int i = 0; i < size(); ++i) {
            if (i != subject && !node(i).isDown && stateSeenBy(i, subject) != state)
                return false;
        }
        return true;
    }

    bool allAlive()
    {
        for (int i = 0; i < size(); ++i) {
            if (!allSeeState(i, MemberState::Alive))
                return false;
        }
        return true;
    }

    std::uint64_t sum(std::uint64_t GossipCounts::*count)
    {
        std::uint64_t total = 0;
        for (int i = 0; i < size(); ++i)
            total += core(i).counts().*count;
        return total;
    }

    static int numberOf(const Member &member) { return member.gossipAddress.port - 10000; }
    std::size_t sentBytes() const { return m_sentBytes; }
    std::size_t largestDatagram() const { return m_largestDatagram; }

private:
    struct Node
    {
        std::unique_ptr<GossipCore> core;
        bool isPaused = false;
        bool isDown = false;
        std::vector<std::pair<int, GossipMessage>> backlog;
    };

    struct DatagramInFlight
    {
        TimePoint arrival;
        std::uint64_t order;
        int from;
        int to;
        GossipMessage message;
        bool operator>(const DatagramInFlight &other) const
        {
            return std::tie(arrival, order) > std::tie(other.arrival, other.order);
        }
    };

    Node &node(int number) { return m_nodes[static_cast<std::size_t>(number)]; }

    void step()
    {
        m_now += tickInterval / 10;
        while (!m_inFlight.empty() && m_inFlight.top().arrival <= m_now) {
            const DatagramInFlight datagram = m_inFlight.top();
            m_inFlight.pop();
            deliver(datagram.from, datagram.to, datagram.message);
        }
        if (++m_steps % 10 != 0)
            return;
        for (int i = 0; i < size(); ++i) {
            if (!node(i).isDown && !node(i).isPaused)
                tick(i);
        }
    }

    void tick(int number)
    {
        send(number, core(number).tick(m_now, m_random));
        const auto backlog = std::exchange(node(number).backlog, {});
        for (const auto &[from, message] : backlog)
            deliver(from, number, message);
    }

    void deliver(int from, int to, const GossipMessage &message)
    {
        if (node(to).isDown)
            return;
        if (node(to).isPaused) {
            node(to).backlog.emplace_back(from, message);
            return;
        }
        const Endpoint source = makeMember(from).gossipAddress;
        send(to, core(to).receive(source, message, m_now, m_random));
    }

    void send(int from, const GossipOutputs &outputs)
    {
        for (const GossipOutput &output : outputs) {
            const int to = output.to.port - 10000;
            const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < m_loss;
            const std::string bytes = encodeGossip(output.message);
            m_largestDatagram = std::max(m_largestDatagram, bytes.size());
            m_sentBytes += bytes.size();
            const auto decoded = decodeGossip(bytes);
            ASSERT_TRUE(isOk(decoded));
            if (isLost || to < 0 || to >= size() || (m_isBlocked && m_isBlocked(from, to)))
                continue;
            const Milliseconds delay(std::uniform_int_distribution<>(1, 15)(m_random));
            m_inFlight.push({m_now + delay, m_order++, from, to, valueOf(decoded)});
        }
    }

    RandomEngine m_random;
    TimePoint m_now = TimePoint(std::chrono::hours(1));
    std::vector<Node> m_nodes;
    std::priority_queue<DatagramInFlight, std::vector<DatagramInFlight>, std::greater<>> m_inFlight;
    std::function<bool(int, int)> m_isBlocked;
    double m_loss = 0;
    std::uint64_t m_order = 0;
    std::uint64_t m_steps = 0;
    std::size_t m_largestDatagram = 0;
    std::size_t m_sentBytes = 0;
};

} // namespace gwt

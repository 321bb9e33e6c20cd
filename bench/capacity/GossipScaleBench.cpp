// Measures how the gossip load of one member, its memory, the time to detect a death and the false
// deaths grow with the number of members, and what an hour's partition into two halves costs. All
// members run in one process on a simulated network with its own clock and a fixed seed; datagrams
// are encoded and decoded as on a real one. Numbers of members may be given as arguments; then only
// the heaviest loss is measured.

#include "membership/Membership.h"

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <queue>

namespace {

using namespace gwt;
using namespace std::chrono_literals;

constexpr Milliseconds tickInterval{50};
constexpr Milliseconds minJoinTime{20'000};
constexpr Milliseconds joinTimePerMember{100}; ///< time for the updates of all to settle
constexpr std::chrono::seconds steadyTime{30};
constexpr Milliseconds detectionTimeout{60'000};
constexpr std::chrono::hours partitionTime{1};
constexpr int partitionedMembers = 128;
constexpr int basePort = 10'000;
constexpr std::uint64_t seed = 42;

Milliseconds joinTime(int size)
{
    return std::max(minJoinTime, joinTimePerMember * size);
}

Member makeMember(int number)
{
    Member member;
    member.id = "relay@host-" + std::to_string(number);
    member.role = Role::Relay;
    member.host = "host-" + std::to_string(number);
    member.availabilityZone = "az-" + std::to_string(number % 6);
    member.peerAddress = {"127.0.0.1", static_cast<std::uint16_t>(basePort + number)};
    member.gossipAddress = {"127.0.0.1", static_cast<std::uint16_t>(basePort + number)};
    member.incarnation = 1'000'000;
    member.isReady = true;
    return member;
}

struct DatagramInFlight
{
    TimePoint arrival;
    int from;
    int to;
    std::string bytes;
    bool operator>(const DatagramInFlight &other) const { return arrival > other.arrival; }
};

class Network
{
public:
    Network(int size, double loss)
        : m_random(seed)
        , m_loss(loss)
    {
        for (int i = 0; i < size; ++i) {
            m_cores.push_back(std::make_unique<GossipCore>(makeMember(i), GossipOptions{}));
            m_cores.back()->setSeeds({makeMember(0).gossipAddress, makeMember(1).gossipAddress});
        }
    }

    void run(Milliseconds duration)
    {
        for (const TimePoint end = m_now + duration; m_now < end; m_now += tickInterval)
            step();
    }

    /// \brief Kills member \a number. Returns the times until the first and the last of the others
    /// declared it dead.
    std::pair<Milliseconds, Milliseconds> kill(int number)
    {
        m_deadMember = number;
        const TimePoint start = m_now;
        Milliseconds first{0};
        while (m_now - start < detectionTimeout) {
            run(tickInterval);
            const int detections = countDetectionsOf(number);
            const auto elapsed = std::chrono::duration_cast<Milliseconds>(m_now - start);
            if (detections > 0 && first == Milliseconds(0))
                first = elapsed;
            if (detections == static_cast<int>(m_cores.size()) - 1)
                return {first, elapsed};
        }
        return {first, detectionTimeout};
    }

    std::uint64_t sum(std::uint64_t GossipCounts::*count) const
    {
        std::uint64_t total = 0;
        for (const auto &core : m_cores)
            total += core->counts().*count;
        return total;
    }

    /// \brief Drops all datagrams between the lower and the upper half of the members.
    void setPartitioned(bool isPartitioned) { m_isPartitioned = isPartitioned; }

    /// \brief True if each member sees \a count members, itself included, all alive.
    bool everyMemberSees(std::size_t count) const
    {
        return std::all_of(m_cores.begin(), m_cores.end(), [&](const auto &core) {
            const MemberList members = core->members();
            return members.size() == count
                && std::all_of(members.begin(), members.end(), [](const Member &member) {
                       return member.state == MemberState::Alive;
                   });
        });
    }

    std::uint64_t datagrams = 0;
    std::uint64_t bytes = 0;

private:
    bool crossesPartition(int from, int to) const
    {
        const int half = static_cast<int>(m_cores.size()) / 2;
        return m_isPartitioned && (from < half) != (to < half);
    }

    int countDetectionsOf(int number) const
    {
        const std::string id = makeMember(number).id;
        return static_cast<int>(
            std::count_if(m_cores.begin(), m_cores.end(), [&](const auto &core) {
                const MemberList members = core->members();
                return core->self().id != id
                    && std::none_of(members.begin(), members.end(),
                                    [&](const Member &member) { return member.id == id; });
            }));
    }

    void step()
    {
        while (!m_inFlight.empty() && m_inFlight.top().arrival <= m_now) {
            const DatagramInFlight datagram = m_inFlight.top();
            m_inFlight.pop();
            if (datagram.to == m_deadMember)
                continue;
            const auto message = decodeGossip(datagram.bytes);
            send(datagram.to,
                 core(datagram.to)
                     .receive(makeMember(datagram.from).gossipAddress, valueOf(message),
                              datagram.arrival, m_random));
        }
        for (int i = 0; i < static_cast<int>(m_cores.size()); ++i) {
            if (i != m_deadMember)
                send(i, core(i).tick(m_now, m_random));
        }
    }

    void send(int from, const GossipOutputs &outputs)
    {
        for (const GossipOutput &output : outputs) {
            std::string encoded = encodeGossip(output.message);
            ++datagrams;
            bytes += encoded.size();
            const int to = output.to.port - basePort;
            if (std::uniform_real_distribution<>(0, 1)(m_random) < m_loss
                || crossesPartition(from, to))
                continue;
            const Milliseconds delay(std::uniform_int_distribution<>(1, 10)(m_random));
            m_inFlight.push({m_now + delay, from, to, std::move(encoded)});
        }
    }

    GossipCore &core(int number) { return *m_cores[static_cast<std::size_t>(number)]; }

    RandomEngine m_random;
    double m_loss;
    bool m_isPartitioned = false;
    TimePoint m_now = TimePoint(1h);
    int m_deadMember = -1;
    std::vector<std::unique_ptr<GossipCore>> m_cores;
    std::priority_queue<DatagramInFlight, std::vector<DatagramInFlight>, std::greater<>> m_inFlight;
};

/// \brief Average load of one member.
struct MemberLoad
{
    double bytes = 0; ///< sent per second
    double cpuPercent = 0; ///< of a core
    double memoryKib = 0;
};

double heapKib()
{
    constexpr double bytesPerKib = 1024;
    return static_cast<double>(mallinfo2().uordblks) / bytesPerKib;
}

MemberLoad measure(int size, double loss)
{
    const double heapBefore = heapKib();
    Network network(size, loss);
    network.run(joinTime(size));
    network.datagrams = 0;
    network.bytes = 0;
    const std::uint64_t deathsBefore = network.sum(&GossipCounts::deaths);
    const std::uint64_t suspicionsBefore = network.sum(&GossipCounts::suspicions);
    const std::clock_t cpuBefore = std::clock();
    network.run(steadyTime);
    const double cpu = static_cast<double>(std::clock() - cpuBefore) / CLOCKS_PER_SEC;
    const std::uint64_t falseDeaths = network.sum(&GossipCounts::deaths) - deathsBefore;
    const std::uint64_t suspicions = network.sum(&GossipCounts::suspicions) - suspicionsBefore;
    const double memberSeconds = size * std::chrono::duration<double>(steadyTime).count();
    MemberLoad load;
    load.bytes = static_cast<double>(network.bytes) / memberSeconds;
    load.cpuPercent = 100 * cpu / memberSeconds;
    load.memoryKib = (heapKib() - heapBefore) / size;
    const double datagrams = static_cast<double>(network.datagrams) / memberSeconds;
    const auto [first, all] = network.kill(size - 1);
    std::printf("%7d %5.0f %12.1f %9.0f %9.4f %7.1f %9.2f %9.2f %11lu %12lu\n", size, loss * 100,
                datagrams, load.bytes, load.cpuPercent, load.memoryKib,
                std::chrono::duration<double>(first).count(),
                std::chrono::duration<double>(all).count(), suspicions, falseDeaths);
    std::fflush(stdout);
    return load;
}

/// \brief Prints the growth of one member's load with each further member.
void printSlope(int smallestSize, const MemberLoad &smallestLoad, int largestSize,
                const MemberLoad &largestLoad, double loss)
{
    const double members = largestSize - smallestSize;
    std::printf("per further member at %2.0f%% loss: %+.2f bytes/s, %+.6f %%core, %+.3f KiB\n",
                loss * 100, (largestLoad.bytes - smallestLoad.bytes) / members,
                (largestLoad.cpuPercent - smallestLoad.cpuPercent) / members,
                (largestLoad.memoryKib - smallestLoad.memoryKib) / members);
}

void measureSizes(const std::vector<int> &sizes, const std::vector<double> &losses)
{
    std::printf("load of one member; time from a death to its detection by the first and by all\n"
                "others; suspicions and false deaths of all members in the %lld s before it\n",
                static_cast<long long>(std::chrono::seconds(steadyTime).count()));
    std::printf("members loss%% datagrams/s   bytes/s   %%core     KiB   first,s     all,s "
                "suspicions false deaths\n");
    std::map<double, std::vector<MemberLoad>> loads;
    for (const int size : sizes) {
        for (const double loss : losses)
            loads[loss].push_back(measure(size, loss));
    }
    for (const auto &[loss, measured] : loads) {
        if (sizes.size() > 1)
            printSlope(sizes.front(), measured.front(), sizes.back(), measured.back(), loss);
    }
}

void measurePartition(int size)
{
    Network network(size, 0);
    network.run(joinTime(size));
    network.setPartitioned(true);
    network.run(partitionTime);
    const bool areHalvesComplete = network.everyMemberSees(static_cast<std::size_t>(size) / 2);
    network.setPartitioned(false);
    double peakBytesPerSecond = 0;
    int seconds = 0;
    for (bool isHealed = false; !isHealed && seconds < 60; ++seconds) {
        network.bytes = 0;
        network.run(1s);
        peakBytesPerSecond
            = std::max(peakBytesPerSecond, static_cast<double>(network.bytes) / size);
        isHealed = network.everyMemberSees(static_cast<std::size_t>(size));
    }
    std::printf("an hour's partition into halves of %d members: each half complete: %s; once it "
                "healed, all alive within %d s, at most %.0f bytes/s per member\n",
                size, areHalvesComplete ? "yes" : "no", seconds, peakBytesPerSecond);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    if (argumentCount == 1) {
        measureSizes({8, 32, 128, 300}, {0.0, 0.05, 0.2});
        measurePartition(partitionedMembers);
        return 0;
    }
    std::vector<int> sizes;
    for (int i = 1; i < argumentCount; ++i)
        sizes.push_back(std::atoi(arguments[i]));
    measureSizes(sizes, {0.2});
}

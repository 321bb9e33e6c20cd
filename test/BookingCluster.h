#pragma once

#include "BreakpointStore.h"
#include "FreezablePool.h"
#include "booking/Booking.h"
#include "entry/Entry.h"
#include "platform/Platform.h"
#include "platform/StoreAccess.h"
#include "relay/Relay.h"
#include "standins/backend/BackendFleet.h"
#include "standins/platform/FakePlatform.h"

namespace gwt {

/// \brief Settable membership view of one process. Thread-safe.
class TestMembershipView : public MembershipView
{
public:
    std::shared_ptr<const MemberList> members() const override
    {
        const std::lock_guard lock(m_mutex);
        return m_members;
    }

    void set(MemberList members)
    {
        const std::lock_guard lock(m_mutex);
        m_members = std::make_shared<const MemberList>(std::move(members));
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const MemberList> m_members = std::make_shared<const MemberList>();
};

/// \brief A relay that serves only booking calls, in its own thread.
class RelayProcess
{
public:
    RelayProcess(const Endpoint &local, const ConfigHolder &config, TaskBreakpoint &breakpoint);
    ~RelayProcess();

    /// \brief Closes all sessions, so that the replies in flight are lost.
    void dropSessions();
    void freeze() { m_pool.freeze(); }
    void resume() { m_pool.resume(); }
    TestMembershipView &membershipView() { return m_membership; }

private:
    void openServer();
    Task<wire::ReserveReply> reserve(wire::ReserveRequest request, PeerRequest raw);
    Task<wire::ExecuteReply> execute(wire::ExecuteRequest request, PeerRequest raw);
    Task<void> expireLoop();

    TestMembershipView m_membership;
    Metrics m_metrics; // outlives the leases that the pool's tasks return when they end
    FreezablePool m_pool;
    TaskBreakpoint &m_breakpoint;
    const Endpoint m_address;
    SliceOwnership m_ownership;
    ServiceTable m_services;
    BackendConnectionPool m_connections;
    BackendClient m_backends;
    BookingExecution m_bookings;
    std::vector<std::unique_ptr<PeerServer>> m_servers; ///< the last one serves
};

/// \brief A booking daemon in its own thread.
class BookingProcess
{
public:
    BookingProcess(const Member &self, const ConfigHolder &config, const Endpoint &platform,
                   TaskBreakpoint &breakpoint);
    ~BookingProcess();

    /// \brief Serves at \a local and starts the maintenance of the ranges.
    void start(const Endpoint &local, const MemberList &members);
    /// \brief Closes the server and its sessions; background work continues.
    void closeServer() { m_server.closeAll(); }
    void freeze() { m_pool.freeze(); }
    void resume() { m_pool.resume(); }
    WorkerPool &workers() { return m_pool.workers(); }
    TestMembershipView &membershipView() { return m_membership; }
    BookingEngine &engine() { return m_engine; }

private:
    TestMembershipView m_membership;
    Metrics m_metrics;
    FreezablePool m_pool;
    HttpClient m_client;
    platform::StoreAccess m_access;
    BreakpointStore m_breakpointStore;
    PeerClient m_peers;
    PeerServer m_server;
    BookingEngine m_engine;
};

/// \brief An entry that serves only bookings, in its own thread.
class EntryProcess
{
public:
    explicit EntryProcess(const ConfigHolder &config);
    ~EntryProcess() { m_pool.stop(); }

    HttpResponse book(const std::string &key);
    HttpResponse lookUp(const std::string &key);
    TestMembershipView &membershipView() { return m_membership; }

private:
    WorkerPool m_pool{1};
    TestMembershipView m_membership;
    Metrics m_metrics;
    PeerClient m_peers;
    BookingService m_bookings;
};

/// \brief Two booking daemons "a" and "b", two entries, a relay, backend servers and a store.
///
/// Every member sees all others unless hide() says otherwise.
class BookingCluster
{
public:
    explicit BookingCluster(std::uint64_t seed);
    ~BookingCluster();

    /// \brief A key in a range of which "a" is the preferred holder; each number has its own range.
    std::string keyHeldByA(const std::string &prefix, int number) const;

    /// \brief A key with \a prefix in \a range.
    static std::string keyInRange(const std::string &prefix, int range);

    void killRelay() { m_relay.reset(); }
    void startRelay();
    void kill(const std::string &booking) { m_bookings.erase(booking); }
    void start(const std::string &booking);
    /// \brief Removes booking daemon \a hidden from the membership view of all but \a unaware.
    void hide(const std::string &hidden, const std::string &unaware = "");
    void showAll() { hide(""); }

    TaskBreakpoint &breakpoint() { return m_breakpoint; }
    FakePlatform &platform() { return m_platform; }
    const BackendFleet &backends() const { return m_backends; }
    RelayProcess &relay() { return *m_relay; }
    BookingProcess &booking(const std::string &id) { return *m_bookings.at(id); }
    bool isRunning(const std::string &booking) const { return m_bookings.count(booking) > 0; }
    EntryProcess &entry(int number) { return number == 0 ? m_firstEntry : m_secondEntry; }

private:
    MemberList membersWithout(const std::string &hidden) const;

    WorkerPool m_pool{2};
    ConfigHolder m_config;
    TaskBreakpoint m_breakpoint;
    FakePlatform m_platform;
    Endpoint m_store;
    BackendFleet m_backends;
    std::map<std::string, Member> m_members; ///< by id
    std::unique_ptr<RelayProcess> m_relay;
    std::map<std::string, std::unique_ptr<BookingProcess>> m_bookings; ///< by id
    EntryProcess m_firstEntry{m_config};
    EntryProcess m_secondEntry{m_config};
};

} // namespace gwt

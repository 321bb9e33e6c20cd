#pragma once

#include "common/WorkerPool.h"
#include "http/HttpClient.h"

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace gwt {

/// \brief Options of a ProcessFleet.
struct ProcessFleetOptions
{
    int hosts = 3;
    int services = 6; ///< shards of index "pots", in two slices
    int replicas = 2; ///< backend servers of each service
    int slots = 2; ///< of each backend server
    int serviceTimeMs = 4; ///< mean time of a request in a slot
    double serviceTimeSigma = 0.5;
    int drainIntervalMs = 200;
    int drainBoundMs = 30000;
    std::string logLevel = "info"; ///< of all daemons
    bool hasSeeds = false; ///< the first two hosts are seeds of the membership
    std::string extraRelaySettings; ///< appended to each relay's settings file
    std::string extraEntrySettings;
    std::string extraBookingSettings;
};

/// \brief Runs the real programs as processes on a free block of loopback addresses.
///
/// Ranks are urgent (200 ms, hedged), desk (500 ms) and background (10 s). The destructor kills
/// the remaining processes by id.
class ProcessFleet
{
public:
    explicit ProcessFleet(ProcessFleetOptions options);
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet &) = delete;
    ProcessFleet &operator=(const ProcessFleet &) = delete;

    /// \brief Starts all processes, publishes the set and waits until every daemon is ready.
    bool start();
    /// \brief Starts the program of \a name ("relay-1", "booking-2", "entry-3") again.
    void spawn(const std::string &name);
    bool waitReady(const std::string &name);

    void signal(const std::string &name, int signalNumber);
    /// \brief Process id of \a name; 0 if it wasn't started or waitExit() has returned its status.
    pid_t pid(const std::string &name) const;
    /// \brief Waits for the process to end; returns its exit status, or the negated signal number.
    int waitExit(const std::string &name);

    /// \brief Returns the names of the daemons of \a host, which counts from 1.
    static std::vector<std::string> daemonsOf(int host);
    Endpoint entry(int host) const { return address(host, 8080); }
    Endpoint admin(const std::string &name) const;
    Endpoint platform() const { return {m_network + ".0.100", 7000}; }
    Endpoint platformAdmin() const { return {m_network + ".0.100", 7001}; }
    Endpoint backendAdmin() const { return {m_network + ".0.100", 7002}; }
    /// \brief Returns the address of backend server \a number, counted from 1 in the order of the
    /// set.
    Endpoint backend(int number) const
    {
        return {m_network + ".100." + std::to_string(number), 9000};
    }
    /// \brief Publishes the present content of setFolder().
    bool publish();

    /// \brief Sends one request; the status is 0 if there was no response. Thread-safe.
    HttpResponse send(const Endpoint &remote, const std::string &method, const std::string &target,
                      const std::string &body = {}, const HttpHeaders &headers = {},
                      Milliseconds timeout = Milliseconds(8000));
    HttpResponse post(const Endpoint &remote, const std::string &target, const std::string &body);
    HttpResponse get(const Endpoint &remote, const std::string &target);
    HttpResponse search(int host, const std::string &rank);
    HttpResponse book(int host, const std::string &key);
    HttpResponse lookUp(int host, const std::string &key);
    /// \brief Number of members that \a observer sees as alive and ready; -1 if it does not answer.
    int readyMembers(const std::string &observer);
    /// \brief Waits a few seconds for \a observer to see \a count ready members.
    bool waitForReadyMembers(const std::string &observer, int count);
    /// \brief Number of executions of \a key, as counted by the backend servers.
    int executions(const std::string &key);

    /// \brief Directory of settings and logs.
    const std::string &folder() const { return m_folder; }
    /// \brief Directory of the published set.
    std::string setFolder() const { return m_folder + "/set"; }

private:
    Endpoint address(int host, std::uint16_t port) const;
    bool reserveNetwork();
    void writeSet() const;
    void writeSettings() const;
    std::string seedSettings() const;
    std::string daemonSettings(const std::string &role, int host) const;
    bool waitHttp(const Endpoint &remote, const std::string &target);

    ProcessFleetOptions m_options;
    std::string m_network; ///< first two numbers of the addresses, as in 127.33
    std::string m_folder;
    int m_guard = -1; ///< bound socket that reserves the network for this fleet
    std::map<std::string, pid_t> m_processes;
    WorkerPool m_pool;
    HttpClient m_client;
};

} // namespace gwt

// Stand-ins and helpers of the review's scripts: a store, searchers, clients and gateway processes.
//
// Plain POSIX sockets and one thread for each connection, so that the scripts need nothing but a C++20
// compiler. All addresses are loopback addresses; all ports are free ports of this machine.
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Ms = std::int64_t; ///< milliseconds since the start of the script

Ms now();
void sleepUntil(Ms at);
void sleepFor(Ms time);

/// Writes lines with their time to record.txt in the working directory.
class Record
{
public:
    static void open(const std::string &path);
    static void line(const std::string &text);
};

/// A message of HTTP/1.1, as read from a socket.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    std::string field(const std::string &name) const; ///< empty if absent
    int status() const; ///< of a response
    std::string method() const; ///< of a request
    std::string target() const; ///< of a request
};

/// A connected TCP socket with blocking calls.
class Socket
{
public:
    explicit Socket(int handle = -1) : m_handle(handle) { }
    ~Socket();
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;
    static std::shared_ptr<Socket> connect(int port, Ms timeout);
    bool send(const std::string &bytes);
    /// Reads one message; nullopt if the connection ends or stays silent first.
    std::optional<Message> read(Ms deadline, bool isRequest);
    bool waitReadable(Ms deadline);
    void close();
    void reset(); ///< closes with a TCP reset
    /// True if the peer has closed the connection.
    bool isPeerGone();
    bool hasReadBytes() const { return !m_buffer.empty(); }

private:
    bool fill(Ms deadline);
    int m_handle;
    std::string m_buffer;
};

/// Accepts connections on a free port of 127.0.0.1 and runs a handler for each in its own thread.
class Listener
{
public:
    using Handler = std::function<void(std::shared_ptr<Socket>)>;
    explicit Listener(Handler handler);
    ~Listener();
    int port() const { return m_port; }
    void stop(); ///< closes the listening socket and all connections

private:
    void accept();
    Handler m_handler;
    int m_handle = -1;
    int m_port = 0;
    std::atomic<bool> m_isOpen = true;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<Socket>> m_sockets;
    std::thread m_thread;
};

/// The platform's store: objects by kind and name, one revision counter, listings and watches.
class Store
{
public:
    Store();
    int port() const { return m_listener->port(); }
    /// Opens another address of the store, for the one machine that is to be turned away.
    int openOtherPort();
    /// Between the two times the store is silent at its other address: an answer that is due then is
    /// lost, and its connection returns nothing further.
    void beSilentAtOtherPort(Ms from, Ms until);
    /// The time at which a watch of `kind` last began at the other address.
    Ms lastOtherWatch(const std::string &kind);
    /// Creates or replaces an object; `spec` is JSON text. Returns the time of the acknowledgement.
    Ms put(const std::string &kind, const std::string &name, const std::string &spec);
    Ms remove(const std::string &kind, const std::string &name);
    int calls() const { return m_calls; }

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::string spec;
    };
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };
    void serve(const std::shared_ptr<Socket> &socket, bool isOther);
    std::string answer(const Message &request);
    std::string text(const std::string &name, const Object &object) const;
    std::string listing(const std::string &kind, const std::string &after);
    std::string watch(const std::string &kind, std::uint64_t after, Ms wait);
    std::string write(const std::string &method, const std::string &kind, const std::string &name,
                      const Message &request);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Event> m_history;
    std::uint64_t m_revision = 1;
    std::atomic<int> m_calls = 0;
    std::atomic<Ms> m_silentFrom = 0;
    std::atomic<Ms> m_silentUntil = 0;
    std::map<std::string, Ms> m_lastOtherWatch;
    std::unique_ptr<Listener> m_listener;
    std::unique_ptr<Listener> m_otherListener;
};

/// A request that a searcher began to work on.
struct Run
{
    Ms at = 0;
    std::string requestId;
    std::string method;
    std::string target;
    std::string body;
};

/// One searcher: answers each request after its work time, with a stamp and the request's id.
class Searcher
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string zone = "caico";
        int slots = 6;
        Ms work = 20;
        std::string body = "record";
        int idleS = 0; ///< idle connections are closed after so many seconds; 0: never
        /// If set and true for a request, the answer is replaced by what it does with the socket.
        std::function<bool(const Message &, Socket &)> override;
    };
    Searcher(Store &store, Options options);
    ~Searcher();
    Ms registerReady();
    Ms registerDraining();
    Ms deregister();
    void stop();
    std::vector<Run> runs();
    const Options &options() const { return m_options; }
    int port() const { return m_listener->port(); }

private:
    void serve(const std::shared_ptr<Socket> &socket);
    std::string spec(const char *state) const;

    Store &m_store;
    Options m_options;
    std::atomic<bool> m_isDraining = false;
    std::atomic<bool> m_isStopped = false;
    std::atomic<int> m_busy = 0;
    Ms m_born = 0;
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::unique_ptr<Listener> m_listener;
};

/// A gateway process, started as the deploy file says.
class Gateway
{
public:
    /// `seeds` are ports of the controlPlane addresses of at most three gateways.
    Gateway(std::string name, std::string zone, int storePort, std::string folder);
    ~Gateway();
    void setSeeds(const std::vector<int> &ports) { m_seeds = ports; }
    void start();
    void signal(int number);
    /// Waits for the end of the process; false if it still runs at `deadline`.
    bool waitForEnd(Ms deadline);
    bool isRunning();
    int exitStatus() const { return m_status; }
    bool isReady(); ///< asks the readiness address once
    bool waitReady(Ms deadline);
    int frontPort() const { return m_front; }
    int readyPort() const { return m_ready; }
    int peerPort() const { return m_peer; }
    pid_t pid() const { return m_pid; }
    const std::string &name() const { return m_name; }
    long residentKb() const;

private:
    std::string m_name;
    std::string m_zone;
    int m_storePort;
    std::string m_folder;
    std::vector<int> m_seeds;
    int m_front = 0;
    int m_ready = 0;
    int m_peer = 0;
    pid_t m_pid = -1;
    int m_status = -1;
};

/// The end of one client attempt.
struct Attempt
{
    std::string id;
    Ms sentAt = 0; ///< when the last byte of the request was sent
    Ms endedAt = 0;
    int status = 0; ///< 0: the connection ended without a complete answer; -1: not connected
    Message answer;
};

/// Sends one request and waits for its answer. A null socket is replaced by a new connection.
Attempt request(std::shared_ptr<Socket> &socket, int port, const std::string &target, Ms deadlineMs,
                const std::string &method = "GET", const std::string &body = {});
std::string newRequestId();
int freePort();
bool isTroubleOn(); ///< false with TROUBLE=0
std::string routeJson(const std::string &name, const std::string &prefix, const std::string &type,
                      const std::string &service, int timeoutMs, int targetMs, int attempts,
                      int priority);
std::string gatherJson(const std::string &name, const std::string &prefix,
                       const std::vector<std::string> &services, int timeoutMs, int targetMs,
                       int topK, double minShare, int priority);
std::string configJson(int version, const std::vector<std::string> &routes,
                       const std::vector<std::pair<std::string, int>> &services);
/// Ends the script at once with `status`; threads of stand-ins may still run.
[[noreturn]] void finish(int status);
inline const std::string host = "pupu76.example";

} // namespace review

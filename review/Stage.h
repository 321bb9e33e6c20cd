#pragma once

// Stand-ins and process control of the review cases 6 to 10: a store, backend servers, callers and
// the gateway's own process, all on 127.0.0.1. Each stand-in does what the users' pages say.

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline void pause(int milliseconds)
{
    std::this_thread::sleep_for(Millis(milliseconds));
}

/// Ends the process with exit status 2: the case could not be run.
[[noreturn]] inline void giveUp(const std::string &reason);

/// Processes started and the temporary folder, for the end of the case.
inline std::vector<pid_t> startedProcesses;
inline std::string temporaryFolder;

/// Log of a case: what was sent, answered and run. Thread-safe.
class Record
{
public:
    static Record &instance()
    {
        static Record record;
        return record;
    }
    void open(const std::string &path) { m_file.open(path, std::ios::trunc); }
    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        const auto at = std::chrono::duration_cast<Millis>(Clock::now() - m_start).count();
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%8lld ms  ", static_cast<long long>(at));
        m_file << stamp << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    const Clock::time_point m_start = Clock::now();
};

inline void note(const std::string &text)
{
    Record::instance().line(text);
}

/// One HTTP/1.1 message, as far as the cases need it.
struct Message
{
    std::string startLine;
    std::vector<std::pair<std::string, std::string>> fields; ///< names in lower case
    std::string body;
    bool isComplete = false; ///< false: the connection ended first

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (key == name)
                return value;
        }
        return "";
    }
    bool has(const std::string &name) const
    {
        return std::any_of(fields.begin(), fields.end(),
                           [&](const auto &each) { return each.first == name; });
    }
    int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const auto first = startLine.find(' ');
        const auto second = startLine.find(' ', first + 1);
        return startLine.substr(first + 1, second - first - 1);
    }
};

/// A connected socket with a read buffer.
class Conn
{
public:
    explicit Conn(int handle)
        : m_handle(handle)
    {
        const int on = 1;
        ::setsockopt(m_handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Conn() { close(); }
    Conn(const Conn &) = delete;
    Conn &operator=(const Conn &) = delete;

    static std::unique_ptr<Conn> connect(int port)
    {
        const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
            ::close(handle);
            return nullptr;
        }
        return std::make_unique<Conn>(handle);
    }

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count
                = ::send(m_handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads one message; \a isAnswer: a body without a length ends with the connection.
    Message read(bool isAnswer, int timeoutMs = 30000)
    {
        Message message;
        const auto until = Clock::now() + Millis(timeoutMs);
        std::size_t end = 0;
        while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return message;
        }
        parseHead(m_buffer.substr(0, end), message);
        m_buffer.erase(0, end + 4);
        if (message.field("transfer-encoding") == "chunked") {
            message.isComplete = readChunks(message.body, until);
            return message;
        }
        if (message.has("content-length")) {
            const auto size
                = static_cast<std::size_t>(std::stoull(message.field("content-length")));
            while (m_buffer.size() < size && fill(until)) {
            }
            message.isComplete = m_buffer.size() >= size;
            message.body = m_buffer.substr(0, size);
            m_buffer.erase(0, message.body.size());
            return message;
        }
        message.isComplete = true;
        if (isAnswer && message.status() != 204) {
            while (fill(until)) {
            }
            message.body = std::exchange(m_buffer, "");
        }
        return message;
    }

    /// Waits until the peer closes or sends, at most \a timeoutMs; true if it has closed.
    bool hasClosed(int timeoutMs)
    {
        pollfd wait{m_handle, POLLIN, 0};
        if (::poll(&wait, 1, timeoutMs) <= 0)
            return false;
        char byte = 0;
        return ::recv(m_handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
    }
    void shutdownSend() { ::shutdown(m_handle, SHUT_WR); }
    void reset()
    {
        const linger now{1, 0};
        ::setsockopt(m_handle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }
    void close()
    {
        if (m_handle >= 0)
            ::close(std::exchange(m_handle, -1));
    }
    int handle() const { return m_handle; }

private:
    bool fill(Clock::time_point until)
    {
        const auto left = std::chrono::duration_cast<Millis>(until - Clock::now()).count();
        pollfd wait{m_handle, POLLIN, 0};
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16384];
        const ssize_t count = ::recv(m_handle, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return false;
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    static void parseHead(const std::string &head, Message &message)
    {
        std::size_t at = head.find("\r\n");
        message.startLine = head.substr(0, at);
        while (at != std::string::npos) {
            const std::size_t begin = at + 2;
            at = head.find("\r\n", begin);
            const std::string text = head.substr(begin, at == std::string::npos ? at : at - begin);
            const std::size_t colon = text.find(':');
            if (colon == std::string::npos)
                continue;
            std::string name = text.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            const std::size_t first = text.find_first_not_of(" \t", colon + 1);
            message.fields.emplace_back(name, first == std::string::npos ? "" : text.substr(first));
        }
    }
    bool readChunks(std::string &body, Clock::time_point until)
    {
        for (;;) {
            std::size_t end = 0;
            while ((end = m_buffer.find("\r\n")) == std::string::npos) {
                if (!fill(until))
                    return false;
            }
            const std::size_t size = std::stoull(m_buffer.substr(0, end), nullptr, 16);
            m_buffer.erase(0, end + 2);
            while (m_buffer.size() < size + 2) {
                if (!fill(until))
                    return false;
            }
            body += m_buffer.substr(0, size);
            m_buffer.erase(0, size + 2);
            if (size == 0)
                return true;
        }
    }

    int m_handle;
    std::string m_buffer;
};

/// Listens on a free port of 127.0.0.1 and runs one thread a connection.
class Server
{
public:
    using Handler = std::function<void(Conn &)>;

    void listen(Handler handler)
    {
        m_handler = std::move(handler);
        m_handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        const bool isBound = ::bind(m_handle, reinterpret_cast<sockaddr *>(&address), size) == 0
            && ::listen(m_handle, 512) == 0
            && ::getsockname(m_handle, reinterpret_cast<sockaddr *>(&address), &size) == 0;
        if (!isBound)
            giveUp("cannot listen");
        m_port = ntohs(address.sin_port);
        std::thread([this] {
            for (;;) {
                const int handle = ::accept4(m_handle, nullptr, nullptr, SOCK_CLOEXEC);
                if (handle < 0)
                    return;
                std::thread([this, handle] {
                    Conn conn(handle);
                    m_handler(conn);
                }).detach();
            }
        }).detach();
    }
    int port() const { return m_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    Handler m_handler;
    int m_handle = -1;
    int m_port = 0;
};

/// The platform's store: objects by kind and name, one revision counter, listings and watches.
class Store
{
public:
    void start()
    {
        m_server.listen([this](Conn &conn) {
            for (;;) {
                const Message request = conn.read(false, 120000);
                if (!request.isComplete || !answer(conn, request))
                    return;
            }
        });
    }
    std::string address() const { return m_server.address(); }

    /// Writes an object, as the operator or a backend server does.
    std::uint64_t put(const std::string &kind, const std::string &name, boost::json::value spec)
    {
        const std::lock_guard lock(m_mutex);
        return write(kind, name, std::move(spec));
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
    }

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        boost::json::value spec;
    };
    struct Event
    {
        std::uint64_t revision;
        std::string kind;
        bool isRemoved;
        boost::json::value object;
    };

    static boost::json::value describe(const std::string &name, const Object &object)
    {
        return {{"meta",
                 {{"name", name},
                  {"revision", object.revision},
                  {"createdRev", object.created},
                  {"finalizers", boost::json::array()},
                  {"deleting", false}}},
                {"spec", object.spec},
                {"status", nullptr}};
    }
    std::uint64_t write(const std::string &kind, const std::string &name, boost::json::value spec)
    {
        Object &object = m_kinds[kind][name];
        if (object.revision > 0 && object.spec == spec)
            return object.revision;
        object.revision = ++m_revision;
        if (object.created == 0)
            object.created = m_revision;
        object.spec = std::move(spec);
        m_events.push_back({m_revision, kind, false, describe(name, object)});
        m_changed.notify_all();
        return m_revision;
    }
    void erase(const std::string &kind, const std::string &name)
    {
        const auto found = m_kinds[kind].find(name);
        if (found == m_kinds[kind].end())
            return;
        ++m_revision;
        m_events.push_back({m_revision, kind, true, describe(name, found->second)});
        m_kinds[kind].erase(found);
        m_changed.notify_all();
    }
    static bool reply(Conn &conn, int status, const boost::json::value &body)
    {
        const std::string text = boost::json::serialize(body);
        return conn.send("HTTP/1.1 " + std::to_string(status)
                         + " X\r\nContent-Type: application/json\r\nContent-Length: "
                         + std::to_string(text.size()) + "\r\n\r\n" + text);
    }
    static std::uint64_t queryNumber(const std::string &query, const std::string &key)
    {
        const auto at = query.find(key + "=");
        return at == std::string::npos ? 0 : std::stoull(query.substr(at + key.size() + 1));
    }
    bool answer(Conn &conn, const Message &request)
    {
        const std::string prefix = "/-/objects/";
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string query
            = target.find('?') == std::string::npos ? "" : target.substr(target.find('?') + 1);
        if (path.rfind(prefix, 0) != 0)
            return reply(conn, 404, nullptr);
        const std::string rest = path.substr(prefix.size());
        const std::string kind = rest.substr(0, rest.find('/'));
        const std::string name
            = rest.find('/') == std::string::npos ? "" : rest.substr(rest.find('/') + 1);
        std::unique_lock lock(m_mutex);
        if (request.method() == "POST") {
            const auto body = boost::json::parse(request.body);
            const std::string created(body.at("meta").at("name").as_string());
            if (m_kinds[kind].contains(created)) {
                const auto held = describe(created, m_kinds[kind][created]);
                lock.unlock();
                return reply(conn, 409, held);
            }
            write(kind, created, body.at("spec"));
            const auto held = describe(created, m_kinds[kind][created]);
            lock.unlock();
            return reply(conn, 200, held);
        }
        if (request.method() == "DELETE") {
            const auto found = m_kinds[kind].find(name);
            const std::uint64_t revision = queryNumber(query, "revision");
            const int status = found == m_kinds[kind].end()           ? 404
                : revision != 0 && revision != found->second.revision ? 409
                                                                      : 200;
            if (status == 200)
                erase(kind, name);
            lock.unlock();
            return reply(conn, status, nullptr);
        }
        if (request.method() != "GET")
            return reply(conn, 405, nullptr);
        if (query.find("watch=") != std::string::npos) {
            const std::uint64_t after = queryNumber(query, "watch");
            const auto until = Clock::now() + Millis(queryNumber(query, "waitMs"));
            const auto hasEvent = [&] {
                return std::any_of(m_events.begin(), m_events.end(), [&](const Event &event) {
                    return event.revision > after && event.kind == kind;
                });
            };
            m_changed.wait_until(lock, until, hasEvent);
            boost::json::array events;
            for (const Event &event : m_events) {
                if (event.revision > after && event.kind == kind)
                    events.push_back({{"removed", event.isRemoved}, {"object", event.object}});
            }
            const boost::json::value body{{"events", events}, {"asOf", m_revision}};
            lock.unlock();
            return reply(conn, 200, body);
        }
        boost::json::array items;
        for (const auto &[each, object] : m_kinds[kind])
            items.push_back(describe(each, object));
        const boost::json::value body{{"items", items}, {"more", false}, {"asOf", m_revision}};
        lock.unlock();
        return reply(conn, 200, body);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 1;
    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::vector<Event> m_events;
    Server m_server;
};

/// A backend server: calls its handler for each request, on the thread of the connection.
class Searcher
{
public:
    /// Returns false to close the connection.
    using Handler = std::function<bool(Conn &, const Message &)>;

    Searcher(std::string id, std::string service)
        : m_id(std::move(id))
        , m_service(std::move(service))
    { }

    void start(Handler handler)
    {
        m_handler = std::move(handler);
        m_server.listen([this](Conn &conn) {
            for (;;) {
                const Message request = conn.read(false, 120000);
                if (!request.isComplete || !serve(conn, request))
                    return;
            }
        });
    }
    /// Registers in the store, under its id.
    void registerIn(Store &store, const std::string &zone = "caico")
    {
        store.put("servers", m_id,
                  {{"service", m_service},
                   {"address", m_server.address()},
                   {"zone", zone},
                   {"version", "v1"},
                   {"slots", 2},
                   {"state", "ready"},
                   {"warmupLeftMs", 0},
                   {"seq", 1},
                   {"born", 1765000000000}});
    }
    const std::string &id() const { return m_id; }

    static std::string answer(const std::string &status, const Message &request,
                              const std::string &fields, const std::string &body)
    {
        return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + request.field("x-request-id") + "\r\n"
            + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

private:
    bool serve(Conn &conn, const Message &request)
    {
        if (request.target() == "/health")
            return conn.send("HTTP/1.1 200 OK\r\nX-Instance-Id: " + m_id
                             + "\r\nContent-Length: 0\r\n\r\n");
        if (request.has("x-target-instance") && request.field("x-target-instance") != m_id)
            return conn.send("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + m_id
                             + "\r\nContent-Length: 0\r\n\r\n");
        return m_handler(conn, request);
    }

    const std::string m_id;
    const std::string m_service;
    Handler m_handler;
    Server m_server;
};

/// The gateway's process, started by the command of the deploy file.
class Gateway
{
public:
    struct Options
    {
        std::string name = "front-caico-1";
        std::string store;
        std::vector<std::string> seeds;
    };

    Gateway() = default;
    ~Gateway() { kill(SIGKILL); }
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start(const std::string &folder, const Options &options)
    {
        // A process that is started again keeps its addresses.
        if (m_front == 0) {
            m_front = freePort();
            m_ready = freePort();
            m_control = freePort();
        }
        m_isEnded = false;
        const std::string path = folder + "/" + options.name + ".toml";
        std::ofstream settings(path, std::ios::trunc);
        const auto local = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        settings << "nodeName = \"" << options.name << "\"\nrole = \"gateway\"\n"
                 << "machineClass = \"front\"\nserves = [\"front\",\"control\"]\n"
                 << "ip = \"127.0.0.1\"\nzone = \"caico\"\nregion = \"sertao-ne\"\n"
                 << "portRange = [7380,7395]\nseedNodes = [" << local(m_control) << "]\n"
                 << "bootstrap = true\nlossCounts = false\ndiscovery = \"platform\"\n"
                 << "ingress = \"vip\"\nheartbeatMs = 1200\n"
                 << "policies = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
                 << "\"scatter\",\"platform\"]\n[zones]\ncaico = \"sertao-ne\"\n"
                 << "[listen]\nfront = " << local(m_front) << "\nready = " << local(m_ready)
                 << "\ncontrolPlane = " << local(m_control) << "\n"
                 << "[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
                 << "linkMbps = 1000.0\ndiskMb = 0\n"
                 << "[faultTolerance]\nnodes = 1\nzones = 0\nregions = 0\n"
                 << "[bounds]\nseedLagS = 3\naddrReuseS = 2\nsettleWindowMs = 4000\nackMs = 5000\n"
                 << "catchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\n"
                 << "configApplyMs = 3000\nrollbackSlackMs = 250\nouterMs = 12000\n"
                 << "retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetExtra = 54\n"
                 << "recoveryS = 12\n[platform]\naddress = \"" << options.store << "\"\n"
                 << "form = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
                 << "valueBytes = 1048576\nttlMinMs = 1000\n";
        settings.close();
        const char *program = std::getenv("GATEWAY");
        const std::string run = program ? program : "target/bin/gwt-gateway";
        const std::string log = folder + "/" + options.name + ".log";
        m_process = ::fork();
        if (m_process > 0)
            startedProcesses.push_back(m_process);
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // if the case itself is killed
            ::setenv("GODWITTRAY_SETTINGS", path.c_str(), 1);
            if (!std::freopen(log.c_str(), "a", stdout) || !std::freopen(log.c_str(), "a", stderr))
                ::_exit(127);
            ::execl(run.c_str(), run.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        note("started " + options.name);
    }
    bool waitUntilReady(int timeoutMs = 10000) const
    {
        const auto until = Clock::now() + Millis(timeoutMs);
        while (Clock::now() < until) {
            if (const auto conn = Conn::connect(m_ready)) {
                conn->send("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n");
                if (conn->read(true, 1000).status() == 200)
                    return true;
            }
            pause(50);
        }
        return false;
    }
    void kill(int signal) const
    {
        if (m_process > 0 && isRunning())
            ::kill(m_process, signal);
    }
    /// True until the process has ended.
    bool isRunning() const
    {
        if (m_isEnded)
            return false;
        m_isEnded = ::waitpid(m_process, &m_status, WNOHANG) == m_process;
        return !m_isEnded;
    }
    int endStatus() const { return m_status; }
    pid_t process() const { return m_process; }
    int front() const { return m_front; }
    int ready() const { return m_ready; }
    int control() const { return m_control; }

private:
    /// A free port below the range of outgoing connections, which could take it otherwise.
    static int freePort()
    {
        static int next = 20'000 + static_cast<int>(::getpid()) * 37 % 10'000;
        for (int tries = 0; tries < 1000; ++tries) {
            const int port = next++;
            const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in address{};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<std::uint16_t>(port));
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            const bool isFree
                = ::bind(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
            ::close(handle);
            if (isFree)
                return port;
        }
        giveUp("no free port");
    }

    pid_t m_process = -1;
    mutable bool m_isEnded = false;
    mutable int m_status = 0;
    int m_front = 0;
    int m_ready = 0;
    int m_control = 0;
};

/// Temporary folder of a case; removed at the end.
class Folder
{
public:
    Folder()
    {
        std::error_code failure;
        std::string name
            = (std::filesystem::temp_directory_path(failure) / "review-case-XXXXXX").string();
        if (failure || !::mkdtemp(name.data()))
            giveUp("no temporary folder");
        m_path = name;
        temporaryFolder = m_path;
    }
    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

/// Ends all processes that were started, and removes the temporary folder.
inline void cleanUp()
{
    for (const pid_t process : startedProcesses) {
        // One that was waited for already is no child any more; its number may be another's.
        if (::waitpid(process, nullptr, WNOHANG) == 0) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
    }
    std::error_code ignored;
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(temporaryFolder, ignored);
}

inline void giveUp(const std::string &reason)
{
    note("not run: " + reason);
    std::fprintf(stderr, "not run: %s\n", reason.c_str());
    cleanUp();
    ::_exit(exitNotRun);
}

/// A request of a caller.
inline std::string request(const std::string &method, const std::string &path,
                           const std::string &id, int deadlineMs, const std::string &body = "",
                           const std::string &extra = "")
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: pupu76.example\r\nX-Request-Id: "
        + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + extra;
    if (!body.empty() || method == "POST")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

/// The operator's configuration with its limits; \a routes and \a services as JSON.
inline boost::json::value configuration(int version, boost::json::array routes,
                                        const std::vector<std::string> &services)
{
    boost::json::array list;
    for (const std::string &service : services)
        list.push_back({{"name", service},
                        {"healthPath", "/health"},
                        {"maxConnections", 100},
                        {"protocol", "h1"},
                        {"tls", false}});
    return {{"version", version},
            {"routes", std::move(routes)},
            {"services", std::move(list)},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 262144},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}}};
}

/// Ends the case. The threads of the stand-ins still run, so no destructor may.
[[noreturn]] inline void finish(int status)
{
    cleanUp();
    note(status == exitBroken ? "BROKEN" : status == exitHeld ? "held" : "not run");
    ::_exit(status);
}

} // namespace review

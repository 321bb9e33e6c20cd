#pragma once

/// \file
/// \brief Shared by the scripts 11 to 15: starts gateways of the product on loopback addresses and
/// plays their clients, searchers, store and links. Needs Boost.JSON and POSIX only.

#include <boost/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
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
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point started = Clock::now();

inline double seconds()
{
    return std::chrono::duration<double>(Clock::now() - started).count();
}

inline void sleepUntil(double at)
{
    const double left = at - seconds();
    if (left > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
}

inline std::string text(double value)
{
    char digits[32];
    std::snprintf(digits, sizeof(digits), "%.2f", value);
    return digits;
}

/// \brief record.txt of the case.
class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(path, std::ios::trunc)
    { }
    void line(const std::string &what)
    {
        const std::lock_guard lock(m_mutex);
        char stamp[32];
        std::snprintf(stamp, sizeof(stamp), "%7.2f  ", seconds());
        m_file << stamp << what << std::endl;
        std::printf("%s%s\n", stamp, what.c_str());
        std::fflush(stdout);
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// ---- sockets -----------------------------------------------------------------------------------

inline sockaddr_in addressOf(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

inline int listenOn(int &port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = addressOf(port);
    if (::bind(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(handle, 1024) != 0) {
        ::close(handle);
        return -1;
    }
    socklen_t size = sizeof(address);
    ::getsockname(handle, reinterpret_cast<sockaddr *>(&address), &size);
    port = ntohs(address.sin_port);
    return handle;
}

/// \brief Ports that are free now and that no other call returns, below those that the system gives
/// to outgoing connections.
inline int freePort()
{
    static std::mutex mutex;
    static int next = 10000 + static_cast<int>(::getpid()) % 100 * 200;
    const std::lock_guard lock(mutex);
    for (;;) {
        int port = ++next;
        const int handle = listenOn(port);
        if (handle < 0)
            continue;
        ::close(handle);
        return port;
    }
}

inline int connectTo(int port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = addressOf(port);
    if (handle < 0
        || ::connect(handle, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        if (handle >= 0)
            ::close(handle);
        return -1;
    }
    const int on = 1;
    ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return handle;
}

inline bool sendAll(int handle, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count
            = ::send(handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/// \brief Closes with a reset.
inline void resetSocket(int handle)
{
    const linger now{1, 0};
    ::setsockopt(handle, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    ::close(handle);
}

// ---- HTTP --------------------------------------------------------------------------------------

struct Message
{
    std::string first; ///< request line or status line
    std::map<std::string, std::string> fields; ///< names in lower case
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto begin = first.find(' ') + 1;
        return first.substr(begin, first.find(' ', begin) - begin);
    }
};

/// \brief Reads one message with a Content-Length from \a handle; \a rest keeps what follows it.
///
/// Returns nothing if the connection ends or \a until has passed.
inline std::optional<Message> readMessage(int handle, std::string &rest, double until)
{
    Message message;
    std::size_t need = 0;
    std::size_t head = std::string::npos;
    for (;;) {
        if (head == std::string::npos)
            head = rest.find("\r\n\r\n");
        if (head != std::string::npos && message.first.empty()) {
            std::istringstream lines(rest.substr(0, head + 2));
            std::string line;
            while (std::getline(lines, line)) {
                if (!line.empty() && line.back() == '\r')
                    line.pop_back();
                if (message.first.empty()) {
                    message.first = line;
                    continue;
                }
                const auto colon = line.find(':');
                if (colon == std::string::npos)
                    continue;
                std::string name = line.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(),
                               [](unsigned char c) { return std::tolower(c); });
                const auto value = line.find_first_not_of(' ', colon + 1);
                message.fields[name] = value == std::string::npos ? "" : line.substr(value);
            }
            need = head + 4 + static_cast<std::size_t>(std::atol(message.field("content-length").c_str()));
        }
        if (head != std::string::npos && rest.size() >= need) {
            message.body = rest.substr(head + 4, need - head - 4);
            rest.erase(0, need);
            return message;
        }
        pollfd wait{handle, POLLIN, 0};
        const double left = until - seconds();
        if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0)
            return std::nullopt;
        char bytes[16384];
        const ssize_t count = ::recv(handle, bytes, sizeof(bytes), 0);
        if (count <= 0)
            return std::nullopt;
        rest.append(bytes, static_cast<std::size_t>(count));
    }
}

constexpr double forever = 1e9;

/// \brief Sends \a request on a new connection; nothing if there is no complete answer in time.
inline std::optional<Message> ask(int port, const std::string &request, double timeout)
{
    const int handle = connectTo(port);
    if (handle < 0)
        return std::nullopt;
    std::string rest;
    std::optional<Message> answer;
    if (sendAll(handle, request))
        answer = readMessage(handle, rest, seconds() + timeout);
    ::close(handle);
    return answer;
}

/// \brief Accepts connections on a loopback port, each served by a thread of its own.
class Listener
{
public:
    using Serve = std::function<void(int handle)>;

    explicit Listener(Serve serve, int port = 0)
        : m_port(port)
        , m_serve(std::move(serve))
    {
        open();
    }
    ~Listener() { close(); }
    int port() const { return m_port; }
    /// \brief Opens the port again after close().
    void open()
    {
        if (m_handle >= 0)
            return;
        m_handle = listenOn(m_port);
        m_isOpen = true;
        m_thread = std::thread([this, handle = m_handle] {
            for (;;) {
                const int client = ::accept4(handle, nullptr, nullptr, SOCK_CLOEXEC);
                if (client < 0 || !m_isOpen) {
                    if (client >= 0)
                        ::close(client);
                    return;
                }
                const int on = 1;
                ::setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                {
                    const std::lock_guard lock(m_mutex);
                    m_clients.insert(client);
                }
                std::thread([this, client] {
                    m_serve(client);
                    const std::lock_guard lock(m_mutex);
                    if (m_clients.erase(client) > 0)
                        ::close(client);
                    else if (m_cut.erase(client) > 0)
                        resetSocket(client);
                }).detach();
            }
        });
    }
    /// \brief Refuses connections from now on and ends the open ones with a reset.
    void close()
    {
        if (m_handle < 0)
            return;
        m_isOpen = false;
        ::shutdown(m_handle, SHUT_RDWR);
        m_thread.join();
        ::close(m_handle);
        m_handle = -1;
        const std::lock_guard lock(m_mutex);
        for (const int client : m_clients) {
            // The thread of the connection closes it, with a reset.
            m_cut.insert(client);
            const linger now{1, 0};
            ::setsockopt(client, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
            ::shutdown(client, SHUT_RD);
        }
        m_clients.clear();
    }
    bool isOpen() const { return m_isOpen; }

private:
    int m_port;
    Serve m_serve;
    int m_handle = -1;
    std::atomic<bool> m_isOpen{false};
    std::thread m_thread;
    std::mutex m_mutex;
    std::set<int> m_clients;
    std::set<int> m_cut;
};

/// \brief A link to \a target: passes bytes on in both directions until it is closed.
class Link
{
public:
    explicit Link(int target)
        : m_listener([target](int client) { pass(client, target); })
    { }
    int port() const { return m_listener.port(); }
    void cut() { m_listener.close(); }
    void heal() { m_listener.open(); }

private:
    static void pass(int client, int target)
    {
        const int server = connectTo(target);
        if (server < 0)
            return;
        for (;;) {
            pollfd waits[2] = {{client, POLLIN, 0}, {server, POLLIN, 0}};
            if (::poll(waits, 2, -1) <= 0)
                break;
            bool goesOn = true;
            for (int i = 0; i < 2 && goesOn; ++i) {
                if ((waits[i].revents & (POLLIN | POLLHUP | POLLERR)) == 0)
                    continue;
                char bytes[16384];
                const ssize_t count = ::recv(waits[i].fd, bytes, sizeof(bytes), 0);
                goesOn = count > 0
                    && sendAll(waits[1 - i].fd, std::string(bytes, static_cast<std::size_t>(count)));
            }
            if (!goesOn)
                break;
        }
        resetSocket(server);
    }
    Listener m_listener;
};

// ---- the platform's store ----------------------------------------------------------------------

/// \brief The store of PROTOCOL.md: objects by kind and name, conditional updates, watches, eras.
class Store
{
public:
    struct Object
    {
        json::value spec;
        std::uint64_t revision = 0;
        std::uint64_t createdRev = 0;
    };
    using Objects = std::map<std::string, std::map<std::string, Object>>;
    /// \brief Changes what the reader \a reader is told of an object, as a link in between would.
    using View = std::function<void(const std::string &reader, const std::string &kind,
                                    const std::string &name, json::value &spec)>;

    static constexpr std::chrono::milliseconds s_answerTime{4}; ///< as on the sheets

    explicit Store(View view = nullptr)
        : m_view(std::move(view))
    { }

    /// \brief A port for the machine \a reader.
    int portFor(const std::string &reader)
    {
        auto &listener = m_listeners[reader];
        if (!listener)
            listener = std::make_unique<Listener>([this, reader](int handle) { serve(reader, handle); });
        return listener->port();
    }
    /// \brief Cuts the path of \a reader, or restores it.
    void cut(const std::string &reader) { m_listeners.at(reader)->close(); }
    void heal(const std::string &reader) { m_listeners.at(reader)->open(); }
    void goAway()
    {
        for (auto &[reader, listener] : m_listeners)
            listener->close();
    }
    void comeBack()
    {
        for (auto &[reader, listener] : m_listeners)
            listener->open();
    }

    void put(const std::string &kind, const std::string &name, const json::value &spec)
    {
        const std::lock_guard lock(m_mutex);
        Object &object = m_objects[kind][name];
        object.spec = spec;
        object.revision = ++m_revision;
        if (object.createdRev == 0)
            object.createdRev = m_revision;
        note(kind, name, false);
    }
    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        if (m_objects[kind].count(name) == 0)
            return;
        m_objects[kind][name].revision = ++m_revision;
        note(kind, name, true);
        m_objects[kind].erase(name);
    }
    std::map<std::string, Object> list(const std::string &kind)
    {
        const std::lock_guard lock(m_mutex);
        return m_objects[kind];
    }

    struct Copy
    {
        Objects objects;
        std::uint64_t revision = 0;
    };
    Copy copy()
    {
        const std::lock_guard lock(m_mutex);
        return {m_objects, m_revision};
    }
    /// \brief Goes back to \a copy; Store-Era rises by one. To be called while the store is away.
    void restore(const Copy &copy)
    {
        const std::lock_guard lock(m_mutex);
        m_objects = copy.objects;
        m_revision = copy.revision;
        m_historyStart = copy.revision;
        m_history.clear();
        ++m_era;
        m_changed.notify_all();
    }
    std::uint64_t era()
    {
        const std::lock_guard lock(m_mutex);
        return m_era;
    }

private:
    struct Event
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        Object object;
        bool isRemoved = false;
    };

    void note(const std::string &kind, const std::string &name, bool isRemoved)
    {
        m_history.push_back({m_revision, kind, name, m_objects[kind][name], isRemoved});
        m_changed.notify_all();
    }
    json::object shown(const std::string &reader, const std::string &kind, const std::string &name,
                       const Object &object)
    {
        json::value spec = object.spec;
        if (m_view)
            m_view(reader, kind, name, spec);
        return {{"meta",
                 {{"name", name},
                  {"revision", object.revision},
                  {"createdRev", object.createdRev},
                  {"finalizers", json::array()},
                  {"deleting", false}}},
                {"spec", spec},
                {"status", nullptr}};
    }
    void serve(const std::string &reader, int handle)
    {
        std::string rest;
        while (auto request = readMessage(handle, rest, forever)) {
            int status = 200;
            std::string body;
            std::this_thread::sleep_for(s_answerTime);
            answer(reader, *request, handle, status, body);
            if (status == 0)
                return;
            std::uint64_t era = 0;
            {
                const std::lock_guard lock(m_mutex);
                era = m_era;
            }
            const std::string reply = "HTTP/1.1 " + std::to_string(status)
                + " X\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era)
                + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            if (!sendAll(handle, reply))
                return;
        }
    }
    static std::string query(const std::string &target, const std::string &key)
    {
        const auto at = target.find(key + "=");
        if (at == std::string::npos || (target[at - 1] != '?' && target[at - 1] != '&'))
            return "";
        const auto begin = at + key.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }
    void answer(const std::string &reader, const Message &request, int handle, int &status,
                std::string &body)
    {
        const std::string target = request.target();
        std::string path = target.substr(0, target.find('?'));
        path = path.substr(std::min(path.size(), std::string("/-/objects/").size()));
        const std::string kind = path.substr(0, path.find('/'));
        const std::string name
            = path.find('/') == std::string::npos ? "" : path.substr(path.find('/') + 1);
        std::unique_lock lock(m_mutex);
        if (request.method() == "GET" && name.empty()) {
            const std::string watch = query(target, "watch");
            if (watch.empty()) {
                json::array items;
                for (const auto &[each, object] : m_objects[kind])
                    items.push_back(shown(reader, kind, each, object));
                body = json::serialize(
                    json::object{{"items", items}, {"more", false}, {"asOf", m_revision}});
                return;
            }
            const std::uint64_t from = std::stoull(watch);
            const std::uint64_t era = m_era;
            if (from > m_revision || from < m_historyStart) {
                status = 410;
                body = "{}";
                return;
            }
            const auto isNew = [&](const Event &event) {
                return event.kind == kind && event.revision > from;
            };
            const auto has = [&] {
                return m_era != era || std::any_of(m_history.begin(), m_history.end(), isNew);
            };
            const double until = seconds() + std::atof(query(target, "waitMs").c_str()) / 1000;
            while (!has() && seconds() < until) {
                m_changed.wait_for(lock, std::chrono::milliseconds(20));
                char byte = 0;
                if (::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0) {
                    status = 0; // the watcher has gone
                    return;
                }
            }
            if (m_era != era) {
                status = 0; // a watch that waits may be cut off
                return;
            }
            json::array events;
            for (const Event &event : m_history) {
                if (isNew(event))
                    events.push_back({{"removed", event.isRemoved},
                                      {"object", shown(reader, kind, event.name, event.object)}});
            }
            body = json::serialize(json::object{{"events", events}, {"asOf", m_revision}});
            return;
        }
        json::value sent;
        if (!request.body.empty())
            sent = json::parse(request.body);
        auto &objects = m_objects[kind];
        if (request.method() == "POST") {
            const std::string created(sent.at("meta").at("name").as_string());
            if (objects.count(created) > 0) {
                status = 409;
                body = json::serialize(shown(reader, kind, created, objects[created]));
                return;
            }
            Object &object = objects[created];
            object.spec = sent.at("spec");
            object.revision = object.createdRev = ++m_revision;
            note(kind, created, false);
            body = json::serialize(shown(reader, kind, created, object));
            return;
        }
        const auto found = objects.find(name);
        if (found == objects.end()) {
            status = 404;
            body = "{}";
            return;
        }
        std::string condition = query(target, "revision");
        if (condition.empty() && sent.is_object() && sent.at("meta").as_object().contains("revision"))
            condition = json::serialize(sent.at("meta").at("revision"));
        const bool isStale = !condition.empty()
            && std::stoull(condition) != found->second.revision;
        if (request.method() == "PUT" && !isStale) {
            if (!(found->second.spec == sent.at("spec"))) {
                found->second.spec = sent.at("spec");
                found->second.revision = ++m_revision;
                note(kind, name, false);
            }
        } else if (request.method() == "DELETE" && !isStale) {
            found->second.revision = ++m_revision;
            note(kind, name, true);
            objects.erase(found);
            body = "{}";
            return;
        }
        status = isStale ? 409 : 200;
        body = json::serialize(shown(reader, kind, name, found->second));
    }

    View m_view;
    std::map<std::string, std::unique_ptr<Listener>> m_listeners;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Objects m_objects;
    std::uint64_t m_revision = 100;
    std::uint64_t m_historyStart = 0;
    std::uint64_t m_era = 0;
    std::vector<Event> m_history;
};

// ---- searchers ---------------------------------------------------------------------------------

/// \brief A searcher: answers each request after \a workMs, and notes what it has run. It runs a few
/// at the same time, queues a few more, and rejects the others.
class Searcher
{
public:
    static constexpr int s_slots = 6;
    static constexpr int s_queue = 24;

    struct Run
    {
        double at = 0;
        std::string id;
        std::string tenant;
    };
    /// \brief Answers a request in place of the usual answer, if it returns a text.
    using Special = std::function<std::string(const Message &request)>;

    Searcher(std::string id, std::string service, double workMs, std::string body = "bytes of a searcher")
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_workMs(workMs)
        , m_body(std::move(body))
        , m_listener([this](int handle) { serve(handle); })
    { }
    const std::string &id() const { return m_id; }
    json::value entry(const std::string &state = "ready") const
    {
        return json::object{{"service", m_service},
                            {"address", "127.0.0.1:" + std::to_string(m_listener.port())},
                            {"zone", "zone-a"},
                            {"version", "v1"},
                            {"slots", s_slots},
                            {"state", state},
                            {"warmupLeftMs", 0},
                            {"seq", 1}};
    }
    void setSpecial(Special special)
    {
        const std::lock_guard lock(m_mutex);
        m_special = std::move(special);
    }
    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    bool takeSlot(const std::string &id, const std::string &tenant)
    {
        std::unique_lock lock(m_mutex);
        if (m_present >= s_slots + s_queue)
            return false;
        ++m_present;
        m_slotFreed.wait(lock, [this] { return m_running < s_slots; });
        ++m_running;
        m_runs.push_back({seconds(), id, tenant});
        return true;
    }
    void freeSlot()
    {
        const std::lock_guard lock(m_mutex);
        --m_running;
        --m_present;
        m_slotFreed.notify_one();
    }
    void serve(int handle)
    {
        std::string rest;
        while (auto request = readMessage(handle, rest, forever)) {
            const std::string id = request->field("x-request-id");
            const std::string target = request->field("x-target-instance");
            std::string head = "HTTP/1.1 ";
            std::string body;
            Special special;
            {
                const std::lock_guard lock(m_mutex);
                special = m_special;
            }
            if (special) {
                const std::string answer = special(*request);
                if (!answer.empty()) {
                    if (!sendAll(handle, answer))
                        return;
                    continue;
                }
            }
            if (!target.empty() && target != m_id) {
                head += "421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Instance-Id: " + m_id + "\r\n";
            } else if (id.empty()) {
                head += "400 Bad Request\r\nX-Not-Executed: 1\r\n";
            } else if (!takeSlot(id, request->field("x-tenant"))) {
                head += "503 Service Unavailable\r\nX-Not-Executed: 1\r\n";
            } else {
                std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(m_workMs));
                freeSlot();
                head += "200 OK\r\nX-Server-Stamp: " + m_id + "." + id + "\r\n";
                body = m_body;
            }
            head += "X-Request-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
            if (!sendAll(handle, head + body))
                return;
        }
    }

    const std::string m_id;
    const std::string m_service;
    const double m_workMs;
    const std::string m_body;
    std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    int m_present = 0; ///< running or queued
    int m_running = 0;
    Special m_special;
    std::vector<Run> m_runs;
    Listener m_listener;
};

// ---- gateways ----------------------------------------------------------------------------------

/// \brief A folder that is removed at the end.
class Folder
{
public:
    Folder()
    {
        std::string name = std::filesystem::temp_directory_path() / "gwt-review-XXXXXX";
        m_path = ::mkdtemp(name.data());
    }
    ~Folder() { remove(); }
    void remove()
    {
        for (const std::string &file : m_files)
            ::unlink(file.c_str());
        ::rmdir(m_path.c_str());
    }
    std::string file(const std::string &name)
    {
        m_files.insert(m_path + "/" + name);
        return m_path + "/" + name;
    }

private:
    std::string m_path;
    std::set<std::string> m_files;
};

/// \brief What the settings file of a gateway says.
struct Machine
{
    std::string name;
    std::string zone = "zone-a";
    int front = freePort();
    int ready = freePort();
    int peer = freePort();
    int store = 0;
    std::vector<int> seeds;
    int memoryMb = 260;
    int maxFds = 4100;
    std::string policies = "\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"platform\"";
    std::string moreBounds;

    std::string settings() const
    {
        const auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
        std::string list;
        for (const int seed : seeds)
            list += (list.empty() ? "" : ",") + at(seed);
        return "nodeName = \"" + name + "\"\nrole = \"gateway\"\nmachineClass = \"front\"\n"
            + "serves = [\"front\",\"control\"]\nip = \"127.0.0.1\"\nzone = \"" + zone
            + "\"\nregion = \"region\"\nseedNodes = [" + list + "]\nbootstrap = true\n"
            + "discovery = \"platform\"\ningress = \"vip\"\nheartbeatMs = 1200\npolicies = [" + policies
            + "]\n[zones]\nzone-a = \"region\"\n[listen]\nfront = " + at(front) + "\nready = "
            + at(ready) + "\ncontrolPlane = " + at(peer) + "\n[limits]\ncpuShare = 0.25\ncpuCores = 1\n"
            + "memoryMb = " + std::to_string(memoryMb) + "\nmaxFds = " + std::to_string(maxFds)
            + "\nlinkMbps = 1000.0\ndiskMb = 0\n[bounds]\nseedLagS = 3\naddrReuseS = 2\n"
            + "settleWindowMs = 4000\nackMs = 5000\ncatchUpS = 4\ndrainMs = 3000\ngraceS = 6\n"
            + "lossSlackMs = 200\nconfigApplyMs = 3000\nrollbackSlackMs = 250\nouterMs = 12000\n"
            + "retryBudgetRatio = 0.2\nbudgetWindowS = 10\nretryBudgetExtra = 54\nrecoveryS = 12\n"
            + moreBounds + "[platform]\naddress = " + at(store)
            + "\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
            + "valueBytes = 1048576\nttlMinMs = 1000\n";
    }
};

/// \brief A process with the command of the deploy file.
class Gateway
{
public:
    Gateway(Machine machine, Folder &folder)
        : m_machine(std::move(machine))
        , m_settings(folder.file(m_machine.name + ".toml"))
        , m_log(folder.file(m_machine.name + ".log"))
    {
        std::ofstream(m_settings) << m_machine.settings();
        m_pid = ::fork();
        if (m_pid == 0) {
            const int log = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
            ::dup2(log, 1);
            ::dup2(log, 2);
            const std::string settings = "GODWITTRAY_SETTINGS=" + m_settings;
            const char *const words[] = {"target/bin/gwt-gateway", nullptr};
            const char *const variables[] = {settings.c_str(), "PATH=/usr/bin:/bin", nullptr};
            ::execve(words[0], const_cast<char *const *>(words),
                     const_cast<char *const *>(variables));
            ::_exit(127);
        }
    }
    ~Gateway()
    {
        signal(SIGCONT);
        signal(SIGKILL);
        if (m_pid > 0)
            ::waitpid(m_pid, nullptr, 0);
    }
    const Machine &machine() const { return m_machine; }
    void signal(int number) const
    {
        if (m_pid > 0)
            ::kill(m_pid, number);
    }
    /// \brief True if the process has ended by itself; \a how tells how.
    bool hasEnded(std::string &how)
    {
        int status = 0;
        if (m_pid <= 0 || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
            return m_pid <= 0;
        m_pid = 0;
        how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                  : "exit " + std::to_string(WEXITSTATUS(status));
        return true;
    }
    bool isReady() const
    {
        const auto answer = ask(m_machine.ready, "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 1);
        return answer && answer->status() == 200;
    }
    /// \brief Megabytes of the process, at its peak ("VmHWM") or now ("VmRSS").
    double memoryMb(const std::string &what) const
    {
        std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.rfind(what + ":", 0) == 0)
                return std::atof(line.c_str() + what.size() + 1) / 1024;
        }
        return 0;
    }
    std::string log() const
    {
        std::ifstream file(m_log);
        std::stringstream all;
        all << file.rdbuf();
        return all.str();
    }

private:
    Machine m_machine;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

inline bool waitUntilReady(const std::vector<std::unique_ptr<Gateway>> &gateways, double timeout)
{
    const double until = seconds() + timeout;
    for (const auto &gateway : gateways) {
        while (!gateway->isReady()) {
            if (seconds() > until)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
    }
    return true;
}

inline bool isTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

/// \brief Exit codes of the issue.
enum Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// \brief Ends the gateways and this process, whose threads may still serve connections.
[[noreturn]] inline void finish(Verdict verdict, std::vector<std::unique_ptr<Gateway>> &gateways,
                                Folder &folder)
{
    gateways.clear();
    folder.remove();
    std::fflush(stdout);
    std::_Exit(verdict);
}

/// \brief The folder of the case: the first argument.
inline std::string recordPath(int argc, char **argv)
{
    return std::string(argc > 1 ? argv[1] : ".") + "/record.txt";
}

} // namespace rig

#pragma once

#include "common/Endpoint.h"
#include "common/TimerQueue.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <filesystem>
#include <fstream>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace gwt::test {

/// \brief How the callers of a crowd send.
struct CrowdBehaviour
{
    /// Without a limit on the size of a piece, each write takes what the kernel accepts.
    static constexpr std::size_t s_whole = std::numeric_limits<std::size_t>::max();

    std::size_t pieceBytes = s_whole; ///< per write
    Milliseconds pause{1}; ///< between two writes
    bool readsSlowly = false; ///< 4 KB every 50 ms; else nothing is read
    bool returns = false; ///< reads, and connects again whenever the connection is closed
};

/// \brief One connection of the crowd; sends, and reads nothing unless told to.
class CrowdCaller : public std::enable_shared_from_this<CrowdCaller>
{
public:
    CrowdCaller(boost::asio::io_context &context, TimerQueue &timers, CrowdBehaviour behaviour,
                std::shared_ptr<const std::string> bytes)
        : m_socket(context)
        , m_timers(timers)
        , m_behaviour(behaviour)
        , m_bytes(std::move(bytes))
    { }

    void start(const Endpoint &remote)
    {
        m_remote = remote;
        m_sent = 0;
        const int number = ++m_connection;
        m_socket.open(boost::asio::ip::tcp::v4());
        // A response must not fit into the kernel's buffer of this side.
        m_socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        m_socket.async_connect({boost::asio::ip::make_address(remote.address), remote.port},
                               [self = shared_from_this(), number](const auto &failure) {
                                   if (failure)
                                       self->reconnect(number);
                                   else
                                       self->begin(number);
                               });
    }

private:
    void begin(int number)
    {
        if (m_behaviour.returns)
            readUntilClosed(number);
        else if (m_behaviour.readsSlowly)
            readSlowly();
        send(number);
    }
    void send(int number)
    {
        const std::size_t size = std::min(m_bytes->size() - m_sent, m_behaviour.pieceBytes);
        if (size == 0 || number != m_connection)
            return;
        m_socket.async_write_some(
            boost::asio::buffer(m_bytes->data() + m_sent, size),
            [self = shared_from_this(), number](const auto &failure, std::size_t written) {
                if (failure || number != self->m_connection)
                    return;
                self->m_sent += written;
                self->m_timers.after(self->m_behaviour.pause,
                                     [self, number] { self->send(number); });
            });
    }
    void readUntilClosed(int number)
    {
        m_socket.async_read_some(boost::asio::buffer(m_piece),
                                 [self = shared_from_this(), number](const auto &failure, auto) {
                                     if (failure)
                                         self->reconnect(number);
                                     else
                                         self->readUntilClosed(number);
                                 });
    }
    void reconnect(int number)
    {
        if (!m_behaviour.returns || number != m_connection)
            return;
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_timers.after(Milliseconds(10), [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->start(self->m_remote);
        });
    }
    void readSlowly()
    {
        m_timers.after(Milliseconds(50), [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self)
                return;
            boost::system::error_code failure;
            self->m_socket.non_blocking(true, failure);
            self->m_socket.read_some(boost::asio::buffer(self->m_piece), failure);
            self->readSlowly();
        });
    }

    boost::asio::ip::tcp::socket m_socket;
    TimerQueue &m_timers;
    const CrowdBehaviour m_behaviour;
    const std::shared_ptr<const std::string> m_bytes;
    Endpoint m_remote;
    std::size_t m_sent = 0;
    int m_connection = 0; ///< number of the present connection
    std::array<char, 4096> m_piece{};
};

inline std::string repeated(const std::string &text, std::size_t count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i)
        all += text;
    return all;
}

/// \brief A request of the crowd, up to its header; \a fields end with CRLF each.
inline std::string requestHead(const std::string &method, const std::string &path,
                               const std::string &fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\n" + fields
        + "\r\n";
}

inline std::string get(const std::string &path)
{
    return requestHead("GET", path, "");
}

/// \brief A request with a body of \a length bytes, of which \a sent are there.
inline std::string post(const std::string &path, std::size_t length, std::size_t sent)
{
    return requestHead("POST", path, "Content-Length: " + std::to_string(length) + "\r\n")
        + std::string(sent, 'x');
}

/// \brief A request with \a chunks chunks of 4,000 bytes; neither the last one nor a trailer.
inline std::string chunkedPost(const std::string &path, std::size_t chunks)
{
    return requestHead("POST", path, "Transfer-Encoding: chunked\r\n")
        + repeated("fa0\r\n" + std::string(4000, 'x') + "\r\n", chunks);
}

/// \brief Bytes that the kernel holds for connections accepted at \a local: received and not yet
/// read, or sent and not yet taken by the other side.
inline std::size_t kernelBytes(const Endpoint &local)
{
    const auto address = boost::asio::ip::make_address_v4(local.address).to_bytes();
    char wanted[16];
    std::snprintf(wanted, sizeof wanted, "%02X%02X%02X%02X:%04X", address[3], address[2],
                  address[1], address[0], local.port);
    std::ifstream table("/proc/net/tcp");
    std::string number, from, to, state, queues, rest;
    std::size_t bytes = 0;
    const std::string listening = "0A";
    while (table >> number >> from >> to >> state >> queues && std::getline(table, rest)) {
        if (from == wanted && state != listening)
            bytes += std::stoul(queues.substr(0, 8), nullptr, 16)
                + std::stoul(queues.substr(9), nullptr, 16);
    }
    return bytes;
}

/// \brief The largest memory and number of descriptors of a process.
struct ProcessPeak
{
    std::size_t memoryKb = 0; ///< resident
    std::size_t totalKb = 0; ///< resident, and of the kernel for connections
    int descriptors = 0;

    /// \brief Takes a sample of the process \a pid, which listens at \a addresses; nothing is
    /// recorded if it has ended.
    void sample(pid_t pid, const std::vector<Endpoint> &addresses)
    {
        // The kernel's table is long after many connections, so it is not read each time.
        const bool readsKernel = Clock::now() >= m_kernelSampleDue;
        std::size_t kernel = 0;
        for (const Endpoint &address : readsKernel ? addresses : std::vector<Endpoint>())
            kernel += kernelBytes(address);
        if (readsKernel)
            m_kernelSampleDue = Clock::now() + Milliseconds(200);
        const std::string process = "/proc/" + std::to_string(pid);
        std::error_code failure;
        const std::filesystem::directory_iterator entries(process + "/fd", failure);
        descriptors
            = std::max(descriptors, static_cast<int>(std::distance(begin(entries), end(entries))));
        std::ifstream status(process + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with("VmHWM:"))
                memoryKb = std::max(memoryKb, std::stoul(line.substr(sizeof("VmHWM:"))));
            if (line.starts_with("VmRSS:"))
                totalKb
                    = std::max(totalKb, std::stoul(line.substr(sizeof("VmRSS:"))) + kernel / 1024);
        }
    }

private:
    TimePoint m_kernelSampleDue;
};

} // namespace gwt::test

#pragma once

#include "common/Task.h"
#include "http/HttpServer.h"
#include "platform/HostList.h"
#include "standins/platform/KeyedObjects.h"

#include <atomic>
#include <mutex>
#include <vector>

namespace gwt {

/// \brief Simulated faults of the object store and the host list; set over the admin port.
struct PlatformFaults
{
    bool isDown = false; ///< calls get status 503 and have no effect
    /// Calls have no effect, and no reply until the fault ends; open watches never get one.
    bool isSilent = false;
    bool resets = false; ///< each call closes its connection and has no effect
    Milliseconds delay{0}; ///< before each reply
    Milliseconds lateEffect{0}; ///< writes get no reply and take effect only after this time
    int loseWriteReplies = 0; ///< this many writes take effect and then lose their reply
    std::string loseReplyPrefix; ///< only writes of keys with this prefix lose their reply
    int writesPerSecond = 0; ///< 0: no limit
    int readsPerSecond = 0;
    Milliseconds hostListLag{0}; ///< age of the state that the host list shows
};

/// \brief Numbers of calls served, for tests and measurements.
struct PlatformCounts
{
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> writes = 0;
    std::atomic<std::uint64_t> watches = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> lostReplies = 0;
};

/// \brief Simulates the platform's metadata store according to its published protocol.
///
/// The hosts are listed as objects of a separate kind.
class FakePlatform
{
public:
    explicit FakePlatform(Executor executor);

    Outcome<Endpoint> listen(const Endpoint &local) { return m_server.listen(local); }
    Outcome<Endpoint> listenAdmin(const Endpoint &local) { return m_admin.listen(local); }

    void setFaults(const PlatformFaults &faults);
    PlatformFaults faults() const;
    const PlatformCounts &counts() const { return m_counts; }
    StoreData &data() { return m_data; }
    /// \brief Returns the project's objects, by key.
    KeyedObjects &store() { return m_objects; }
    void setHosts(std::vector<Host> hosts);
    /// \brief Returns from a copy that is \a age old. From then on replies have the header
    /// Store-Era.
    void returnFromCopy(Milliseconds age) { m_data.returnToCopy(age); }

private:
    struct TokenWindow
    {
        TimePoint start;
        int used = 0;
    };

    /// Target of a call, parsed from its path.
    struct Target
    {
        std::string kind;
        std::string name; ///< empty: all objects of the kind
        bool isStatus = false;
    };

    static std::optional<Target> targetOf(const HttpRequest &request);
    Task<HttpResponse> answer(HttpRequest request);
    Task<HttpResponse> answerInEra(HttpRequest request);
    Task<HttpResponse> answerRead(HttpRequest request, Target target);
    Task<HttpResponse> answerWrite(HttpRequest request, Target target);
    Task<HttpResponse> answerWatch(HttpRequest request, Target target);
    HttpResponse answerList(const HttpRequest &request, const Target &target) const;
    HttpResponse answerHosts() const;
    Task<HttpResponse> answerAdmin(HttpRequest request);
    HttpResponse applyWrite(const HttpRequest &request, const Target &target);
    bool tryAcquireToken(TokenWindow &window, int limit);
    bool losesReply(const std::string &key);
    /// \brief Returns the key of the object in \a response, the response to a write.
    static std::string writtenKey(const Target &target, const HttpResponse &response);
    std::vector<Host> laggedHosts() const;

    mutable std::mutex m_mutex; ///< guards faults, windows and hosts
    PlatformFaults m_faults;
    TokenWindow m_writeWindow;
    TokenWindow m_readWindow;
    std::vector<std::pair<TimePoint, std::vector<Host>>> m_hostHistory;
    PlatformCounts m_counts;
    StoreData m_data;
    KeyedObjects m_objects{m_data};
    HttpServer m_server;
    HttpServer m_admin;
};

} // namespace gwt

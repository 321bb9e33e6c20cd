#pragma once

#include "common/Task.h"
#include "http/HttpServer.h"
#include "platform/HostList.h"
#include "standins/platform/KeyedObjects.h"

#include <atomic>
#include <mutex>
#include <vector>

namespace gwt {

/// \brief Faults of the stand-in's object store and host list; set over its admin port.
struct PlatformFaults
{
    bool isDown = false; ///< calls are refused with 503, without effect
    bool isSilent = false; ///< calls get no answer until the fault is released, and no effect
    bool resets = false; ///< connections end at each call, without effect
    Milliseconds delay{0}; ///< before each answer
    Milliseconds lateEffect{0}; ///< writes answer nothing and take effect only after this time
    int loseWriteReplies = 0; ///< this many writes take effect and then lose their reply
    std::string loseReplyPrefix; ///< only writes of keys that start so lose their reply
    int writesPerSecond = 0; ///< 0: no limit
    int readsPerSecond = 0;
    Milliseconds hostListLag{0}; ///< the host list shows its state of this long ago
};

/// \brief Calls that the stand-in has served, for tests and measurements.
struct PlatformCounts
{
    std::atomic<std::uint64_t> reads = 0;
    std::atomic<std::uint64_t> writes = 0;
    std::atomic<std::uint64_t> watches = 0;
    std::atomic<std::uint64_t> refused = 0;
    std::atomic<std::uint64_t> lostReplies = 0;
};

/// \brief Stand-in for the platform's metadata store, as its published protocol describes it.
///
/// It lists the hosts as objects of a kind of their own.
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
    /// \brief The project's objects, by key.
    KeyedObjects &store() { return m_objects; }
    void setHosts(std::vector<Host> hosts);

private:
    struct TokenWindow
    {
        TimePoint start;
        int used = 0;
    };

    /// What a call is about, from its path.
    struct Target
    {
        std::string kind;
        std::string name; ///< empty: all objects of the kind
        bool isStatus = false;
    };

    static std::optional<Target> targetOf(const HttpRequest &request);
    Task<HttpResponse> answer(HttpRequest request);
    Task<HttpResponse> answerRead(HttpRequest request, Target target);
    Task<HttpResponse> answerWrite(HttpRequest request, Target target);
    Task<HttpResponse> answerWatch(HttpRequest request, Target target);
    HttpResponse answerList(const HttpRequest &request, const Target &target) const;
    HttpResponse answerHosts() const;
    Task<HttpResponse> answerAdmin(HttpRequest request);
    HttpResponse applyWrite(const HttpRequest &request, const Target &target);
    bool takeToken(TokenWindow &window, int limit);
    bool losesReply(const std::string &key);
    /// \brief Key of the object that \a response to a write tells of.
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

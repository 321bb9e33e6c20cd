#pragma once

#include "TaskRunner.h"
#include "common/Sleep.h"
#include "entry/Entry.h"
#include "peer/Peer.h"
#include "peer/PeerCodec.h"

#include <boost/json.hpp>

#include <atomic>
#include <functional>

namespace gwt {

/// \brief Answers slice searches by a function that the test sets, in place of all relays.
class FakeRelay : public MembershipView
{
public:
    /// \brief Gets each request with its number, from 1 on.
    using Handler = std::function<Task<wire::SliceSearchReply>(wire::SliceSearchRequest, int)>;

    explicit FakeRelay(WorkerPool &pool)
        : m_server(pool.executor())
    {
        m_server.route("/relay/search",
                       peerHandler<wire::SliceSearchRequest, wire::SliceSearchReply>(
                           [this](wire::SliceSearchRequest request, PeerRequest raw) {
                               return handle(std::move(request), std::move(raw));
                           }));
        Member relay;
        relay.id = "relay";
        relay.role = Role::Relay;
        relay.isReady = true;
        relay.peerAddress = valueOf(m_server.listen({"127.0.0.1", 0}));
        m_members = std::make_shared<const MemberList>(MemberList{relay});
    }

    std::shared_ptr<const MemberList> members() const override { return m_members; }
    void setHandler(Handler handler) { m_handler = std::move(handler); }
    void closeSessions() { m_server.closeAll(); }
    int requests() const { return m_requests; }
    int cancelled() const { return m_cancelled; }

    /// \brief The complete reply to \a request: one hit of each service.
    static wire::SliceSearchReply completeReply(const wire::SliceSearchRequest &request)
    {
        wire::SliceSearchReply reply;
        reply.set_request_id(request.request_id());
        reply.set_leg_id(request.leg_id());
        reply.set_version(request.version());
        for (const std::string &service : request.services()) {
            reply.add_answered(service);
            wire::Hit *hit = reply.add_hits();
            hit->set_id(service + "-" + request.query());
            hit->set_service(service);
            hit->set_version(request.version());
            wire::ServiceState *state = reply.add_services();
            state->set_service(service);
            state->set_newest_version(request.version());
            state->set_slots(4);
            state->set_service_time_us(8000);
        }
        return reply;
    }

    /// \brief A reply that lists all services of \a request as missing for \a reason.
    static wire::SliceSearchReply missingReply(const wire::SliceSearchRequest &request,
                                               const std::string &reason)
    {
        wire::SliceSearchReply reply;
        reply.set_request_id(request.request_id());
        reply.set_leg_id(request.leg_id());
        reply.set_version(request.version());
        for (const std::string &service : request.services()) {
            wire::MissingShard *missing = reply.add_missing();
            missing->set_service(service);
            missing->set_reason(reason);
        }
        return reply;
    }

private:
    Task<wire::SliceSearchReply> handle(wire::SliceSearchRequest request, PeerRequest raw)
    {
        const auto registration = raw.cancel.onCancel([this] { ++m_cancelled; });
        const int number = ++m_requests;
        co_return co_await m_handler(std::move(request), number);
    }

    PeerServer m_server;
    Handler m_handler;
    std::shared_ptr<const MemberList> m_members;
    std::atomic<int> m_requests = 0;
    std::atomic<int> m_cancelled = 0;
};

/// \brief Searches index "pots" through an entry, against a FakeRelay.
///
/// Version 1 has shards p1 and p2 of slice s1 and q1 of slice s2. The configuration also has r1
/// and r2 of slice s3, for later versions, and index "lids", which has no version.
class EntrySearchHarness
{
public:
    explicit EntrySearchHarness(AdmissionOptions admission = {})
        : m_gate(m_relay, admission, m_metrics)
        , m_search(m_pool.executor(), m_config, m_relay, m_peers, m_gate, m_metrics)
    {
        ConfigSet set;
        set.ranks["urgent"] = Rank{"urgent", Milliseconds(1000), 100, 0.3, 1.0, true, false};
        set.ranks["desk"] = Rank{"desk", Milliseconds(5000), 10, 0.3, 0.5, true, false};
        for (const auto &[name, slice] :
             {std::pair("p1", "s1"), std::pair("p2", "s1"), std::pair("q1", "s2"),
              std::pair("r1", "s3"), std::pair("r2", "s3")})
            set.services[name] = Service{name, "pots", slice};
        set.services["l1"] = Service{"l1", "lids", "s4"};
        m_config.updateIfNewer(std::make_shared<const Config>(1, std::move(set)));
        publish(1, {"p1", "p2", "q1"});
    }

    ~EntrySearchHarness() { m_pool.stop(); }
    EntrySearchHarness(const EntrySearchHarness &) = delete;
    EntrySearchHarness &operator=(const EntrySearchHarness &) = delete;

    void publish(std::uint64_t version, std::vector<std::string> services)
    {
        m_config.addIndexVersion({"pots", version, std::move(services)});
    }

    HttpResponse send(const std::string &rank, const std::string &query = "beans",
                      CancelToken cancel = {}, const std::string &index = "pots")
    {
        HttpRequest request;
        request.body
            = R"({"index":")" + index + R"(","rank":")" + rank + R"(","query":")" + query + R"("})";
        request.cancel = std::move(cancel);
        return runTask(m_pool, m_search.answer(std::move(request)));
    }

    /// \brief The JSON answer of a search; only its status if that is not 200.
    boost::json::object search(const std::string &rank, const std::string &query = "beans")
    {
        const HttpResponse response = send(rank, query);
        return response.status == 200 ? boost::json::parse(response.body).as_object()
                                      : boost::json::object{{"status", response.status}};
    }

    FakeRelay &relay() { return m_relay; }
    WorkerPool &pool() { return m_pool; }
    std::string metrics() const { return m_metrics.text(); }

private:
    WorkerPool m_pool{3};
    FakeRelay m_relay{m_pool};
    ConfigHolder m_config;
    PeerClient m_peers{m_pool.executor(), Milliseconds(1000)};
    Metrics m_metrics;
    AdmissionGate m_gate;
    SearchService m_search;
};

} // namespace gwt

#include "booking/BookingEngine.h"

#include "peer/PeerCodec.h"

#include <boost/json.hpp>

namespace gwt {

namespace json = boost::json;

BookingEngine::BookingEngine(const BookingServices &services, const RangeHolder &self,
                             BookingOptions options)
    : m_ranges(services.executor, services.store, services.membership, services.metrics, self,
               options)
    , m_router(m_ranges, services.peers, services.metrics)
    , m_relays(services.config, services.membership, services.peers, options)
    , m_runner(m_router, m_relays, services.metrics, options)
    , m_lookup(m_router, services.metrics)
    , m_maintainer(services.executor, m_ranges, m_relays, services.membership, services.metrics,
                   options)
{ }

void BookingEngine::start(PeerServer &server)
{
    server.route("/booking/book",
                 peerHandler<wire::BookRequest, wire::BookReply>(
                     [this](wire::BookRequest request, PeerRequest raw) {
                         return m_runner.book(std::move(request), raw.deadline);
                     }));
    server.route("/booking/lookup",
                 peerHandler<wire::BookLookupRequest, wire::BookReply>(
                     [this](wire::BookLookupRequest request, PeerRequest raw) {
                         return m_lookup.lookUp(std::move(request), raw.deadline);
                     }));
    m_maintainer.start();
}

std::string BookingEngine::statusJson() const
{
    json::array unsettled;
    for (const wire::BookingRecord &record : m_maintainer.unsettled().all()) {
        unsettled.push_back(json::object{{"key", record.key()},
                                         {"attempt", record.attempt()},
                                         {"service", record.service()},
                                         {"sent_ms", record.time_ms()},
                                         {"relay", record.relay()}});
    }
    const json::object status{{"ranges_held", m_ranges.heldCount()},
                              {"unsettled", std::move(unsettled)}};
    return json::serialize(status);
}

} // namespace gwt

#include "GatewayLinks.h"

#include "SoakGateway.h"

#include <algorithm>
#include <string_view>

namespace gwt::test {

namespace {

constexpr int firstLinkPort = 7100; ///< plus the number of the calling gateway

void replaceAll(char *bytes, std::size_t count, const std::string &from, const std::string &to)
{
    std::string_view text(bytes, count);
    for (auto at = text.find(from); at != std::string_view::npos; at = text.find(from, at + 1))
        std::copy(to.begin(), to.end(), bytes + at);
}

} // namespace

GatewayLinks::GatewayLinks(boost::asio::io_context &context, TimerQueue &timers,
                           const Endpoint &store, int gateways)
    : m_peers(static_cast<std::size_t>(gateways))
{
    for (int from = 0; from < gateways; ++from) {
        const auto port = static_cast<std::uint16_t>(firstLinkPort + from);
        std::vector<std::pair<std::string, std::string>> addresses;
        for (int to = 0; to < gateways; ++to) {
            const Endpoint target = SoakGateway::peerOf(to);
            const Endpoint local{target.address, port};
            auto &links = m_peers[static_cast<std::size_t>(from)];
            links.push_back(from == to
                                ? nullptr
                                : std::make_unique<LoopbackProxy>(context, timers, target, local));
            if (from != to)
                addresses.emplace_back(toString(target), toString(local));
        }
        m_stores.push_back(
            std::make_unique<LoopbackProxy>(context, timers, store, Endpoint{"127.0.0.1", 0},
                                            [addresses](char *bytes, std::size_t count) {
                                                for (const auto &[target, local] : addresses)
                                                    replaceAll(bytes, count, target, local);
                                            }));
    }
}

Endpoint GatewayLinks::store(int number) const
{
    return m_stores.at(static_cast<std::size_t>(number))->endpoint();
}

std::vector<Endpoint> GatewayLinks::peers(int number) const
{
    std::vector<Endpoint> peers;
    for (const auto &link : m_peers.at(static_cast<std::size_t>(number))) {
        if (link)
            peers.push_back(link->endpoint());
    }
    return peers;
}

void GatewayLinks::setMode(const std::vector<int> &numbers, Scope scope, Mode mode)
{
    const auto isCut = [&](std::size_t number) {
        return std::find(numbers.begin(), numbers.end(), static_cast<int>(number)) != numbers.end();
    };
    for (std::size_t from = 0; from < m_peers.size(); ++from) {
        if (scope.store && isCut(from))
            m_stores[from]->setMode(mode);
        for (std::size_t to = 0; to < m_peers.size(); ++to) {
            const bool isAffected
                = isCut(from) != isCut(to) && (isCut(from) ? scope.outbound : scope.inbound);
            if (isAffected)
                m_peers[from][to]->setMode(mode);
        }
    }
}

} // namespace gwt::test

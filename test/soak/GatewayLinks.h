#pragma once

#include "LoopbackProxy.h"

#include <memory>
#include <vector>

namespace gwt::test {

/// \brief The links from each gateway to the store and to each other gateway. Each can fail alone.
///
/// Gateways learn each other's addresses from the store. The link to the store replaces them by the
/// addresses of the reader's own links, which are as long.
class GatewayLinks
{
public:
    using Mode = LoopbackProxy::Mode;
    /// Which links of a gateway a cut affects.
    struct Scope
    {
        bool store = true;
        bool inbound = true; ///< from other gateways
        bool outbound = true; ///< to other gateways
    };

    GatewayLinks(boost::asio::io_context &context, TimerQueue &timers, const Endpoint &store,
                 int gateways);

    /// \brief Address of the store for gateway \a number.
    Endpoint store(int number) const;
    /// \brief Addresses of the other gateways for gateway \a number.
    std::vector<Endpoint> peers(int number) const;
    /// \brief Cuts the gateways \a numbers off from the others, but not from each other.
    void setMode(const std::vector<int> &numbers, Scope scope, Mode mode);

private:
    std::vector<std::unique_ptr<LoopbackProxy>> m_stores; ///< by gateway
    /// By calling and called gateway; null on the diagonal.
    std::vector<std::vector<std::unique_ptr<LoopbackProxy>>> m_peers;
};

} // namespace gwt::test

#include "operator/OperatorContext.h"

namespace gwt {

namespace {

constexpr std::chrono::seconds platformTimeout{20};

} // namespace

OperatorContext::OperatorContext(const OperatorOptions &options,
                                 const PlatformFactory &connectPlatform)
    : m_pool(1)
    , m_client(m_pool.executor())
    , m_platform(
          connectPlatform(m_pool.executor(), m_client, options.platform.value_or(Endpoint())))
    , m_reader(m_platform->store())
{ }

OperatorContext::~OperatorContext()
{
    m_pool.stop();
}

TimePoint OperatorContext::deadline()
{
    return Clock::now() + platformTimeout;
}

} // namespace gwt

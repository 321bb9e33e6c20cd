#pragma once

#include "common/WorkerPool.h"
#include "control/queries/ConfigReader.h"
#include "operator/OperatorOptions.h"
#include "platform/PlatformAccess.h"

#include <boost/asio/use_future.hpp>

#include <future>

namespace gwt {

/// \brief Holds what the gwtctl commands share: thread, HTTP client, platform, config reader.
class OperatorContext
{
public:
    /// \brief Connects to the platform of \a options. Without one, calls to the platform fail as
    /// unreachable.
    OperatorContext(const OperatorOptions &options, const PlatformFactory &connectPlatform);
    ~OperatorContext();

    HttpClient &client() { return m_client; }
    ObjectStore &store() { return m_platform->store(); }
    HostList &hostList() { return m_platform->hostList(); }
    ConfigReader &reader() { return m_reader; }

    /// \brief Runs \a task and waits for its result.
    template <typename T>
    T run(Task<T> task)
    {
        return asio::co_spawn(m_pool.strand(), std::move(task), asio::use_future).get();
    }

    /// \brief Returns the deadline of a call to the platform that starts now.
    static TimePoint deadline();

private:
    WorkerPool m_pool;
    HttpClient m_client;
    std::unique_ptr<PlatformAccess> m_platform; ///< never null
    ConfigReader m_reader;
};

} // namespace gwt

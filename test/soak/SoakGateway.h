#pragma once

#include "common/Endpoint.h"
#include "common/Time.h"

#include <sys/types.h>

#include <csignal>
#include <optional>
#include <string>
#include <vector>

namespace gwt::test {

/// \brief A gwt-gateway process that the soak starts, signals and ends by its id.
class SoakGateway
{
public:
    /// Time within which a configuration must be in force; in the settings.
    static constexpr Milliseconds s_updateLimit{3000};

    /// \brief \a number identifies the gateway within one soak; \a extraSettings are appended to
    /// its settings.
    SoakGateway(std::string folder, int number, Endpoint store, std::string extraSettings = "");
    ~SoakGateway();
    SoakGateway(const SoakGateway &) = delete;
    SoakGateway &operator=(const SoakGateway &) = delete;

    const std::string &name() const { return m_name; }
    Endpoint callers() const { return m_callers; }
    Endpoint readiness() const { return m_readiness; }
    Endpoint peer() const { return m_peer; }
    /// \brief Address on which the other gateways call gateway \a number.
    static Endpoint peerOf(int number);
    /// \brief Writes the settings, with \a seeds, and starts the process.
    void start(const std::vector<Endpoint> &seeds);
    void signal(int number);
    /// \brief Changes the settings and signals the process to reload them.
    void reload();
    /// \brief Asks the process to stop, by signal \a number.
    void stop(int number = SIGTERM);
    /// \brief Records that a fault affects this gateway until \a end.
    void setDisturbedUntil(TimePoint end) { m_disturbedUntil = std::max(m_disturbedUntil, end); }
    TimePoint disturbedUntil() const { return m_disturbedUntil; }
    /// \brief When this gateway was last killed without notice.
    TimePoint killedAt() const { return m_killedAt; }
    /// \brief When this gateway was last started, paused, resumed or told to end.
    TimePoint interruptedAt() const { return m_interruptedAt; }
    bool isRunning() const { return m_pid > 0; }
    pid_t pid() const { return m_pid; }
    /// \brief Number of starts so far; identifies the incarnation.
    int starts() const { return m_starts; }
    /// \brief Returns the exit status if the process has ended since the last call; -N for signal
    /// N.
    std::optional<int> reap();

private:
    /// \brief Signals unless the process still has the default action for \a number, as before its
    /// main() runs; then the signal would kill it before it can install its handlers.
    void signalIfHandled(int number);
    std::string settingsPath() const { return m_folder + "/" + m_name + ".toml"; }
    void writeSettings() const;

    const std::string m_folder;
    const std::string m_name;
    const Endpoint m_store;
    const Endpoint m_callers;
    const Endpoint m_readiness;
    const Endpoint m_peer;
    const std::string m_extraSettings;
    std::vector<Endpoint> m_seeds;
    pid_t m_pid = 0;
    int m_starts = 0;
    int m_reloads = 0;
    TimePoint m_disturbedUntil = Clock::now();
    TimePoint m_interruptedAt;
    TimePoint m_killedAt = TimePoint::min();
};

} // namespace gwt::test

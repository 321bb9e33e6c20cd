#pragma once

#include "common/Metrics.h"
#include "relay/queries/AttemptRace.h"

namespace gwt {

/// \brief Counters of a relay's searches and attempts, by rank and reason.
class SearchMetrics
{
public:
    explicit SearchMetrics(Metrics &metrics);

    void countMissingShard(const std::string &reason, const std::string &rank);
    /// \brief Counts a hedge or a retry that was sent.
    void countExtraAttempt(ExtraAttempt kind, const std::string &rank);
    /// \brief Counts an extra attempt whose reply was used.
    void countExtraAttemptWin(const std::string &rank);
    /// \brief Counts an extra attempt that was due but not made.
    void countDeniedExtraAttempt(const std::string &reason, const std::string &rank);
    /// \brief Counts an attempt that was cancelled because the other had answered.
    void countCancelledAttempt(const std::string &rank);
    /// \brief Counts an attempt that gave no reply to merge.
    void countFailedAttempt(const std::string &reason, const std::string &rank);
    /// \brief Counts a reply that was not merged: foreign_reply, wrong_version, bad_reply.
    void countRejectedReply(const std::string &reason, const std::string &rank);
    void countRefusedSearch(const std::string &reason, const std::string &rank);

private:
    Metrics &m_metrics;
};

} // namespace gwt

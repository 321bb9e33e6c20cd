#pragma once

#include "common/Metrics.h"
#include "relay/queries/AttemptRace.h"

namespace gwt {

/// \brief Counters of a relay's searches and attempts, by rank and reason.
class SearchMetrics
{
public:
    explicit SearchMetrics(Metrics &metrics);

    void countMiss(const std::string &reason, const std::string &rank);
    /// \brief Counts an extra attempt that was sent; Slow is a hedge, Failed a retry.
    void countExtra(ExtraCause cause, const std::string &rank);
    /// \brief Counts an extra attempt whose reply was used.
    void countExtraWin(const std::string &rank);
    /// \brief Counts an extra attempt that was due but not made.
    void countDenied(const std::string &reason, const std::string &rank);
    /// \brief Counts an attempt that was cancelled because the other had answered.
    void countCancelled(const std::string &rank);
    /// \brief Counts an attempt that gave no reply to merge.
    void countFailed(const std::string &reason, const std::string &rank);
    /// \brief Counts a reply that was not merged: foreign_reply, wrong_version, bad_reply.
    void countRejected(const std::string &reason, const std::string &rank);
    void countRefused(const std::string &reason, const std::string &rank);

private:
    Metrics &m_metrics;
};

} // namespace gwt

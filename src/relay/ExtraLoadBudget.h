#pragma once

#include <cstdint>

namespace gwt {

/// \brief Token bucket that limits hedges and retries. Has no I/O and reads no clock.
///
/// At any time the extra attempts allowed are at most \c share of the first attempts plus
/// \c s_initialTokens; unused tokens are kept up to \c burst.
class ExtraLoadBudget
{
public:
    static constexpr double s_initialTokens = 1;

    explicit ExtraLoadBudget(double share = 0.05, double burst = 20);

    /// \brief Adds the tokens earned by one first attempt.
    void recordFirstAttempt();
    /// \brief Takes a token for one extra attempt; false if there is none.
    bool tryAcquire();
    /// \brief Returns the token of an extra attempt that never got a slot.
    void refund();

private:
    double m_share;
    double m_burst;
    double m_tokens;
};

} // namespace gwt

#include "booking/BookingOptions.h"

namespace gwt {

namespace {

constexpr Milliseconds minRetention{600'000}; // far longer than a delayed message can arrive late
constexpr Milliseconds maxRetention{2'592'000'000};
constexpr Milliseconds minHold{100};
constexpr Milliseconds maxHold{10'000};
constexpr Milliseconds minCommitTimeout{50};
constexpr Milliseconds maxCommitTimeout{10'000};

} // namespace

BookingOptions BookingOptions::read(Settings &settings)
{
    BookingOptions options;
    options.retention
        = settings.duration("booking.retention_ms", options.retention, minRetention, maxRetention);
    options.hold = settings.duration("booking.hold_ms", options.hold, minHold, maxHold);
    options.commitTimeout = settings.duration("booking.commit_timeout_ms", options.commitTimeout,
                                              minCommitTimeout, maxCommitTimeout);
    return options;
}

} // namespace gwt

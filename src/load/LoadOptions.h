#pragma once

#include "common/Settings.h"

#include <string>
#include <vector>

namespace gwt {

enum class StreamKind { Search, Booking };

/// \brief One stream of requests with its own arrival rate.
struct LoadStream
{
    std::string name;
    StreamKind kind = StreamKind::Search;
    std::string index;
    std::string rank;
    double ratePerSecond = 1;
    std::uint32_t limit = 10;
    std::string service; ///< for bookings; empty: the entry chooses
    Milliseconds from{0}; ///< after the start of the run
    Milliseconds until{0}; ///< after the start of the run; 0: to its end
};

/// \brief A request that is sent to a stand-in's admin port at a set time, to cause a fault.
struct TimedFault
{
    std::string name;
    Milliseconds at{0}; ///< after the start of the run
    Endpoint admin;
    std::string path;
    std::string body; ///< sent by POST
};

/// \brief A part of the run with figures of its own in the report.
struct LoadWindow
{
    std::string name;
    Milliseconds from{0};
    Milliseconds until{0};
};

/// \brief Settings of a load run.
struct LoadOptions
{
    std::vector<Endpoint> entries;
    Endpoint backendAdmin; ///< of the stand-in, to count executions; port 0: none
    Milliseconds duration{10'000};
    Milliseconds timeout{10'000}; ///< after which a request counts as failed
    std::uint64_t seed = 1;
    int workers = 2;
    std::vector<LoadStream> streams;
    std::vector<TimedFault> faults;
    std::vector<LoadWindow> windows;
    std::string jsonFile; ///< empty: none
    std::string svgFile; ///< empty: none
    std::string summaryFile; ///< see toSummaryLines(); empty: none

    static LoadOptions read(Settings &settings);
};

} // namespace gwt

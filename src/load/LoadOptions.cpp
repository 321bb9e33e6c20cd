#include "load/LoadOptions.h"

namespace gwt {

namespace {

constexpr Milliseconds maxRun{3'600'000};

LoadStream readStream(Settings &settings, const std::string &name)
{
    const std::string prefix = "stream." + name + ".";
    LoadStream stream;
    stream.name = name;
    const std::string kind = settings.choice(prefix + "kind", "search", {"search", "booking"});
    stream.kind = kind == "booking" ? StreamKind::Booking : StreamKind::Search;
    stream.index = settings.text(prefix + "index");
    stream.rank = settings.text(prefix + "rank");
    stream.ratePerSecond = settings.number(prefix + "rate", 1, 0.001, 1e6);
    stream.limit = static_cast<std::uint32_t>(settings.integer(prefix + "limit", 10, 1, 1000));
    stream.service = settings.text(prefix + "service", "");
    stream.from = settings.duration(prefix + "from_ms", Milliseconds(0), Milliseconds(0), maxRun);
    stream.until = settings.duration(prefix + "until_ms", Milliseconds(0), Milliseconds(0), maxRun);
    return stream;
}

TimedFault readFault(Settings &settings, const std::string &name)
{
    const std::string prefix = "fault." + name + ".";
    TimedFault fault;
    fault.name = name;
    fault.at = settings.duration(prefix + "at_ms", Milliseconds(0), Milliseconds(0), maxRun);
    fault.admin = settings.endpoint(prefix + "admin");
    fault.path = settings.text(prefix + "path");
    fault.body = settings.text(prefix + "body", "{}");
    return fault;
}

LoadWindow readWindow(Settings &settings, const std::string &name, Milliseconds end)
{
    const std::string prefix = "window." + name + ".";
    LoadWindow window;
    window.name = name;
    window.from = settings.duration(prefix + "from_ms", Milliseconds(0), Milliseconds(0), maxRun);
    window.until = settings.duration(prefix + "until_ms", end, Milliseconds(1), maxRun);
    return window;
}

} // namespace

LoadOptions LoadOptions::read(Settings &settings)
{
    LoadOptions options;
    options.entries = settings.endpoints("load.entries");
    const std::string admin = settings.text("load.backend_admin", "");
    if (!admin.empty())
        options.backendAdmin = settings.endpoint("load.backend_admin");
    options.duration
        = settings.duration("load.duration_ms", options.duration, Milliseconds(1), maxRun);
    options.timeout
        = settings.duration("load.timeout_ms", options.timeout, Milliseconds(1), maxRun);
    options.seed = static_cast<std::uint64_t>(settings.integer("load.seed", 1, 0, 1'000'000'000));
    options.workers = static_cast<int>(settings.integer("load.workers", 2, 1, 64));
    for (const std::string &name : settings.tableNames("stream"))
        options.streams.push_back(readStream(settings, name));
    for (const std::string &name : settings.tableNames("fault"))
        options.faults.push_back(readFault(settings, name));
    for (const std::string &name : settings.tableNames("window"))
        options.windows.push_back(readWindow(settings, name, options.duration));
    options.jsonFile = settings.text("load.json_file", "");
    options.svgFile = settings.text("load.svg_file", "");
    options.summaryFile = settings.text("load.summary_file", "");
    return options;
}

} // namespace gwt

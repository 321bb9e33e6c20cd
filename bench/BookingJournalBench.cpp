#include "booking/Booking.h"
#include "platform/Platform.h"
#include "platform/StoreAccess.h"
#include "standins/platform/FakePlatform.h"

#include <benchmark/benchmark.h>
#include <boost/asio/use_future.hpp>

#include <future>

namespace gwt {
namespace {

using namespace std::chrono_literals;

constexpr Milliseconds storeDelay{5}; ///< delay of the fake platform before each reply
constexpr int benchedRange = 7;

wire::BookingRecord makeRecord(int number, wire::BookingRecord::State state)
{
    wire::BookingRecord record;
    record.set_key("key-" + std::to_string(number));
    record.set_attempt("attempt");
    record.set_digest("0123456789abcdef0123456789abcdef");
    record.set_state(state);
    record.set_time_ms(1);
    return record;
}

/// \brief The two writes of a booking: "sent" and its outcome.
Task<void> writeBooking(RangePtr range, int number)
{
    for (const auto state : {wire::BookingRecord::SENT, wire::BookingRecord::DONE}) {
        wire::BookingRecord record = makeRecord(number, state);
        co_await range->commit(std::move(record), range->epoch(), Clock::now() + 10s);
    }
}

/// \brief Measures store writes per booking and its latency with range(0) concurrent bookings.
void benchJournal(benchmark::State &state)
{
    WorkerPool pool(2);
    FakePlatform fake(pool.executor());
    HttpClient client(pool.executor());
    platform::StoreAccess access(pool.executor(), client, valueOf(fake.listen({"127.0.0.1", 0})));
    ObjectStore &store = access.store();
    Metrics metrics;
    BookingOptions options;
    options.retention = 0ms; // so that the journal's size stays the same
    const auto range = std::make_shared<BookingRange>(
        pool.strand(), store, metrics, benchedRange, RangeHolder("bench", {"127.0.0.1", 1}),
        options, [](const std::string &) { return false; });
    asio::co_spawn(range->strand(), range->acquire(Clock::now() + 5s), asio::use_future).get();
    PlatformFaults faults;
    faults.delay = storeDelay;
    fake.setFaults(faults);
    const std::uint64_t before = fake.counts().writes;
    const auto concurrency = static_cast<int>(state.range(0));
    for (auto iteration : state) {
        std::vector<std::future<void>> bookings;
        bookings.reserve(static_cast<std::size_t>(concurrency));
        for (int number = 0; number < concurrency; ++number) {
            bookings.push_back(
                asio::co_spawn(range->strand(), writeBooking(range, number), asio::use_future));
        }
        for (auto &booking : bookings)
            booking.get();
    }
    const auto count = static_cast<double>(state.iterations() * state.range(0));
    state.counters["writes_per_booking"]
        = static_cast<double>(fake.counts().writes - before) / count;
    state.counters["bookings_per_s"] = benchmark::Counter(count, benchmark::Counter::kIsRate);
    pool.stop();
}

BENCHMARK(benchJournal)->Arg(1)->Arg(10)->Arg(100)->UseRealTime()->Unit(benchmark::kMillisecond);

} // namespace
} // namespace gwt

#include "booking/BookingReplies.h"
#include "booking/JournalState.h"

/// \brief Parses a stored journal: any bytes are rejected or loaded as the records of a range.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const auto journal = gwt::readJournal(std::string(reinterpret_cast<const char *>(data), size));
    if (!gwt::isOk(journal))
        return 0;
    gwt::JournalState state(gwt::JournalLimits{std::chrono::hours(24)});
    state.load(gwt::valueOf(journal));
    gwt::wire::BookRequest request;
    request.set_attempt("attempt");
    for (const gwt::wire::BookingRecord &record : gwt::valueOf(journal).records()) {
        gwt::decideBooking(state.find(record.key()), request);
        gwt::replyFromRecord(record);
        state.hasRoomFor(record);
    }
    state.unsettled();
    state.dropExpired(std::chrono::hours(24 * 365 * 60));
    gwt::wire::BookingJournal written;
    state.appendTo(written);
    state.clear();
    return state.size() == 0 ? 0 : 1;
}

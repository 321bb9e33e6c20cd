#include "entry/commands/BookingBody.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>

namespace gwt {

namespace json = boost::json;

namespace {

constexpr std::size_t maxKeyBytes = 200;
constexpr char firstVisible = '!';
constexpr char lastVisible = '~';

/// \brief A string field of the body.
struct TextField
{
    std::string BookingBody::*member;
    bool isRequired;
};

const std::map<std::string, TextField> textFields = {{"index", {&BookingBody::index, true}},
                                                     {"rank", {&BookingBody::rank, true}},
                                                     {"service", {&BookingBody::service, false}}};

Error invalidField(const std::string &field, const std::string &problem)
{
    return {ErrorCode::InvalidArgument, "bad_request", field + ": " + problem};
}

} // namespace

Outcome<BookingBody> parseBookingBody(const std::string &body)
{
    boost::system::error_code failure;
    const json::value parsed = json::parse(body, failure);
    if (failure || !parsed.is_object())
        return Error{ErrorCode::InvalidArgument, "bad_json", "the body must be a JSON object"};
    BookingBody booking;
    for (const auto &entry : parsed.get_object()) {
        const std::string name(entry.key());
        const auto field = textFields.find(name);
        if (name == "payload")
            booking.payload = json::serialize(entry.value());
        else if (field == textFields.end())
            return invalidField(name, "unknown field");
        else if (!entry.value().is_string() || entry.value().get_string().empty())
            return invalidField(name, "must be a non-empty text");
        else
            booking.*(field->second.member) = std::string(entry.value().get_string());
    }
    for (const auto &[name, field] : textFields) {
        if (field.isRequired && (booking.*(field.member)).empty())
            return invalidField(name, "is required");
    }
    if (booking.payload.empty())
        return invalidField("payload", "is required");
    return booking;
}

bool isValidBookingKey(const std::string &key)
{
    const std::string reserved = "/%?#";
    const auto isAllowed = [&](char character) {
        const bool isVisible = character >= firstVisible && character <= lastVisible;
        return isVisible && reserved.find(character) == std::string::npos;
    };
    return !key.empty() && key.size() <= maxKeyBytes
        && std::all_of(key.begin(), key.end(), isAllowed);
}

} // namespace gwt

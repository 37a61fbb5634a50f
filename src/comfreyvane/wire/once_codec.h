/// @file
/// Names of requests as JSON.
#ifndef COMFREYVANE_WIRE_ONCE_CODEC_H_
#define COMFREYVANE_WIRE_ONCE_CODEC_H_

#include <json/value.h>
#include <boost/leaf/result.hpp>

#include "comfreyvane/once/record_name.h"
#include "comfreyvane/once/request_ticket.h"

namespace comfreyvane {

/// Why a name was not read. Travels as a Boost.LEAF error.
enum class OnceWireError {
  kNotAString,
  kMalformed,
};

/// @return the name as a JSON string, in the form of the request header.
[[nodiscard]] Json::Value ToJson(const RequestTicket& ticket);
[[nodiscard]] Json::Value ToJson(const RecordName& name);

/// @return the ticket, or an OnceWireError.
[[nodiscard]] boost::leaf::result<RequestTicket> RequestTicketFromJson(
    const Json::Value& json);
/// @return the name, or an OnceWireError.
[[nodiscard]] boost::leaf::result<RecordName> RecordNameFromJson(
    const Json::Value& json);

}  // namespace comfreyvane

#endif  // COMFREYVANE_WIRE_ONCE_CODEC_H_

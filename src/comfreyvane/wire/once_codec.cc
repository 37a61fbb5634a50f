#include "comfreyvane/wire/once_codec.h"

#include <boost/leaf/error.hpp>

#include "comfreyvane/once/ticket_text.h"

namespace comfreyvane {
namespace {

namespace leaf = boost::leaf;

template <typename Name, typename Parse>
leaf::result<Name> NameFromJson(const Json::Value& json, Parse parse) {
  if (!json.isString())
    return leaf::new_error(OnceWireError::kNotAString);
  leaf::result<Name> name = parse(json.asString());
  if (!name)
    return name.load(OnceWireError::kMalformed);
  return name;
}

}  // namespace

Json::Value ToJson(const RequestTicket& ticket) {
  return ToText(ticket);
}

Json::Value ToJson(const RecordName& name) {
  return ToText(name);
}

leaf::result<RequestTicket> RequestTicketFromJson(const Json::Value& json) {
  return NameFromJson<RequestTicket>(json, ParseTicket);
}

leaf::result<RecordName> RecordNameFromJson(const Json::Value& json) {
  return NameFromJson<RecordName>(json, ParseRecordName);
}

}  // namespace comfreyvane

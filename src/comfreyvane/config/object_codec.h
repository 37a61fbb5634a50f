/// @file
/// Objects as JSON text.
#ifndef COMFREYVANE_CONFIG_OBJECT_CODEC_H_
#define COMFREYVANE_CONFIG_OBJECT_CODEC_H_

#include <boost/leaf/result.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "comfreyvane/config/object_reader.h"
#include "comfreyvane/config/object_writer.h"
#include "comfreyvane/config/parse_errors.h"

namespace comfreyvane {

/// @tparam Object a type with VisitMembers().
/// @return the object as JSON on one line, members in their fixed order.
template <typename Object>
[[nodiscard]] std::string WriteObject(const Object& object) {
  ObjectWriter writer(ObjectWriter::Style::kOneLine);
  writer.Write(object, 0);
  return writer.text();
}

/// @tparam Object a type with VisitMembers().
/// @param text JSON with each of its members and no other.
/// @return the object, or the error object ParseErrors with every fault.
template <typename Object>
[[nodiscard]] boost::leaf::result<Object> ReadObject(std::string_view text) {
  const JsonSource source(text);
  if (source.error())
    return boost::leaf::new_error(ParseErrors{{*source.error()}});
  ObjectReader reader(source);
  Object object;
  reader.Read(source.root(), "", object);
  ParseErrors errors{reader.errors()};
  if (!errors.errors.empty())
    return boost::leaf::new_error(std::move(errors));
  return object;
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_OBJECT_CODEC_H_

#include "comfreyvane/config/object_reader.h"

#include <algorithm>

namespace comfreyvane {
namespace {

/// Two to the power of 64, from which a number is too large for any member.
constexpr double kTwoTo64 = 18446744073709551616.0;

}  // namespace

std::string MemberPlace(const std::string& where, const std::string& name) {
  std::string place = where;
  if (!place.empty())
    place += '.';
  return place += name;
}

void ObjectReader::RefuseOthers(const Json::Value& value,
                                const std::string& where,
                                const std::set<std::string>& known) {
  for (const std::string& name : value.getMemberNames()) {
    if (!known.contains(name)) {
      AddError(ParseErrorKind::kUnknownMember, value[name],
               MemberPlace(where, name));
    }
  }
}

void ObjectReader::AddError(ParseErrorKind kind,
                            const Json::Value& value,
                            const std::string& where) {
  errors_.push_back({kind, source_.LineOf(value), where});
}

std::vector<ParseError> ObjectReader::errors() const {
  std::vector<ParseError> sorted = errors_;
  std::stable_sort(
      sorted.begin(), sorted.end(),
      [](const auto& a, const auto& b) { return a.line < b.line; });
  return sorted;
}

void ObjectReader::ReadValue(const Json::Value& value,
                             const std::string& where,
                             std::string& out) {
  if (!value.isString())
    return AddError(ParseErrorKind::kNotAString, value, where);
  out = value.asString();
}

void ObjectReader::ReadValue(const Json::Value& value,
                             const std::string& where,
                             bool& out) {
  if (!value.isBool())
    return AddError(ParseErrorKind::kNotABoolean, value, where);
  out = value.asBool();
}

std::uint64_t ObjectReader::ReadNumber(const Json::Value& value,
                                       const std::string& where,
                                       std::uint64_t greatest) {
  const bool too_large =
      value.type() == Json::realValue && value.asDouble() >= kTwoTo64;
  const bool whole =
      value.type() == Json::intValue || value.type() == Json::uintValue;
  if (!too_large && (!whole || !value.isUInt64())) {
    AddError(ParseErrorKind::kNotANumber, value, where);
    return 0;
  }
  if (too_large || value.asUInt64() > greatest) {
    AddError(ParseErrorKind::kOutOfRange, value, where);
    return 0;
  }
  return value.asUInt64();
}

}  // namespace comfreyvane

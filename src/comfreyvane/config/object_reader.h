/// @file
/// Reader of objects from JSON.
#ifndef COMFREYVANE_CONFIG_OBJECT_READER_H_
#define COMFREYVANE_CONFIG_OBJECT_READER_H_

#include <concepts>
#include <limits>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/config/json_source.h"
#include "comfreyvane/config/members.h"
#include "comfreyvane/config/policy_names.h"

namespace comfreyvane {

/// @return the place of a member, such as "services[2].shares".
[[nodiscard]] std::string MemberPlace(const std::string& where,
                                      const std::string& name);

/// Reads objects strictly and notes every fault with its place.
class ObjectReader {
 public:
  /// @param source must outlive the reader.
  explicit ObjectReader(const JsonSource& source) : source_(source) {}

  /// Reads one object.
  /// @param value its JSON.
  /// @param where its place, for errors.
  template <typename Object>
  void Read(const Json::Value& value, const std::string& where, Object& out) {
    std::set<std::string> known;
    if (!value.isObject())
      return AddError(ParseErrorKind::kNotAnObject, value, where);
    VisitMembers(out, [&](const char* name, auto& member) {
      known.insert(name);
      ReadMember(value, where, name, member);
    });
    RefuseOthers(value, where, known);
  }

  /// @return the faults so far, by line.
  [[nodiscard]] std::vector<ParseError> errors() const;

 private:
  template <typename Object>
  void ReadList(const Json::Value& value,
                const std::string& where,
                std::vector<Object>& out) {
    if (!value.isArray())
      return AddError(ParseErrorKind::kNotAnArray, value, where);
    for (Json::ArrayIndex i = 0; i < value.size(); ++i)
      ReadValue(value[i], where + '[' + std::to_string(i) + ']',
                out.emplace_back());
  }

  /// Reads a member that must be there.
  template <typename Member>
  void ReadMember(const Json::Value& value,
                  const std::string& where,
                  const std::string& name,
                  Member& out) {
    const std::string inner = MemberPlace(where, name);
    if (!value.isMember(name))
      return AddError(ParseErrorKind::kMissingMember, value, inner);
    ReadValue(value[name], inner, out);
  }

  /// Notes each member that is not among the known ones.
  void RefuseOthers(const Json::Value& value,
                    const std::string& where,
                    const std::set<std::string>& known);

  void AddError(ParseErrorKind kind,
                const Json::Value& value,
                const std::string& where);

  void ReadValue(const Json::Value& value,
                 const std::string& where,
                 std::string& out);
  void ReadValue(const Json::Value& value, const std::string& where, bool& out);

  /// @return the number, or zero after noting a fault.
  std::uint64_t ReadNumber(const Json::Value& value,
                           const std::string& where,
                           std::uint64_t greatest);

  template <std::unsigned_integral Number>
  void ReadValue(const Json::Value& value,
                 const std::string& where,
                 Number& out) {
    out = static_cast<Number>(
        ReadNumber(value, where, std::numeric_limits<Number>::max()));
  }

  template <typename Enum>
  requires std::is_enum_v<Enum>
  void ReadValue(const Json::Value& value,
                 const std::string& where,
                 Enum& out) {
    if (!value.isString())
      return AddError(ParseErrorKind::kNotAString, value, where);
    const auto named = ValueNamed<Enum>(value.asString());
    if (!named)
      return AddError(ParseErrorKind::kUnknownValue, value, where);
    out = *named;
  }

  void ReadValue(const Json::Value& value,
                 const std::string& where,
                 Revision& out) {
    out = Revision(
        ReadNumber(value, where, std::numeric_limits<std::uint64_t>::max()));
  }

  template <typename Object>
  requires std::is_class_v<Object>
  void ReadValue(const Json::Value& value,
                 const std::string& where,
                 Object& out) {
    Read(value, where, out);
  }

  template <typename Object>
  void ReadValue(const Json::Value& value,
                 const std::string& where,
                 std::vector<Object>& out) {
    ReadList(value, where, out);
  }

  const JsonSource& source_;
  std::vector<ParseError> errors_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_OBJECT_READER_H_

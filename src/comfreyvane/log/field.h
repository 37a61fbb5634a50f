/// @file
/// Typed field of a log line.
#ifndef COMFREYVANE_LOG_FIELD_H_
#define COMFREYVANE_LOG_FIELD_H_

#include <concepts>
#include <cstdint>
#include <string_view>
#include <variant>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/base/refusal_reason.h"
#include "comfreyvane/base/retry_reason.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/run_state.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/log/field_name.h"

namespace comfreyvane {

/// A name and a value of one of a closed set of types. Text is not copied:
/// a field must not outlive it. There is no constructor from CallerKey.
class Field {
 public:
  /// An identifier, written as 16 hexadecimal digits.
  struct Hex {
    std::uint64_t value = 0;
  };
  using Value = std::
      variant<bool, std::int64_t, std::uint64_t, double, Hex, std::string_view>;

  constexpr Field(FieldName name, std::same_as<bool> auto value)
      : name_(name), value_(value) {}
  template <std::signed_integral T>
  constexpr Field(FieldName name, T value)
      : name_(name), value_(static_cast<std::int64_t>(value)) {}
  template <std::unsigned_integral T>
  requires(!std::same_as<T, bool>) constexpr Field(FieldName name, T value)
      : name_(name), value_(static_cast<std::uint64_t>(value)) {}
  constexpr Field(FieldName name, double value) : name_(name), value_(value) {}
  constexpr Field(FieldName name, std::string_view value)
      : name_(name), value_(value) {}
  constexpr Field(FieldName name, const char* value)
      : Field(name, std::string_view(value)) {}
  constexpr Field(FieldName name, Hex value) : name_(name), value_(value) {}

  /// A span of time, written in milliseconds with a fraction.
  constexpr Field(FieldName name, Duration value)
      : Field(name, std::chrono::duration<double, std::milli>(value).count()) {}
  constexpr Field(FieldName name, Revision value)
      : Field(name, value.value()) {}
  constexpr Field(FieldName name, Incarnation value)
      : Field(name, value.value()) {}
  template <typename Tag>
  constexpr Field(FieldName name, BasicId<Tag> value)
      : name_(name), value_(Hex{value.value()}) {}
  Field(FieldName name, RefusalReason value) : Field(name, Name(value)) {}
  Field(FieldName name, RetryReason value) : Field(name, Name(value)) {}
  Field(FieldName name, RunState value) : Field(name, Name(value)) {}

  [[nodiscard]] constexpr std::string_view name() const { return name_.text(); }
  [[nodiscard]] constexpr const Value& value() const { return value_; }

 private:
  FieldName name_;
  Value value_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_LOG_FIELD_H_

/// @file
/// Writes and reads structs as JSON objects by one list of their fields.
#ifndef COMFREYVANE_WIRE_JSON_ARCHIVE_H_
#define COMFREYVANE_WIRE_JSON_ARCHIVE_H_

#include <json/value.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <concepts>
#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include "comfreyvane/base/basic_id.h"
#include "comfreyvane/base/incarnation.h"
#include "comfreyvane/base/revision.h"
#include "comfreyvane/base/time.h"
#include "comfreyvane/wire/wire_error.h"

namespace comfreyvane::wire {

/// The fields of a struct. A specialization has a function
/// `static void List(auto& archive, auto& object)` that calls
/// `archive("name", object.field)` for each field.
template <typename T>
struct Fields;

/// The JSON name of an alternative of a message: a specialization has
/// `static constexpr char kName[]`.
template <typename T>
struct Alternative;

/// The last value of an enumeration that starts at zero: a specialization has
/// `static constexpr T kLast`.
template <typename T>
struct EnumRange;

/// Reads a number written as hexadecimal digits.
/// @return whether the JSON holds one.
[[nodiscard]] bool ReadHex(const Json::Value& json, std::uint64_t& number);

/// @return the number in hexadecimal digits.
[[nodiscard]] std::string Hex(std::uint64_t number);

template <typename T>
concept Hexadecimal = requires(const T& value) {
  { value.value() } -> std::same_as<std::uint64_t>;
};

/// Writes fields into a JSON object.
class JsonWriter {
 public:
  template <typename T>
  void operator()(const char* name, const T& field) {
    object_[name] = Write(field);
  }

  /// @return the object that was written.
  [[nodiscard]] const Json::Value& object() const { return object_; }

  template <typename T>
  [[nodiscard]] static Json::Value Write(const T& field) {
    if constexpr (std::is_same_v<T, bool> || std::is_same_v<T, std::string>) {
      return Json::Value(field);
    } else if constexpr (std::is_same_v<T, std::uint64_t>) {
      return Json::Value(Hex(field));
    } else if constexpr (std::is_enum_v<T> || std::unsigned_integral<T>) {
      return Json::Value(static_cast<Json::UInt>(field));
    } else if constexpr (std::is_same_v<T, Duration>) {
      return Json::Value(static_cast<Json::Int64>(field.count()));
    } else if constexpr (Hexadecimal<T>) {
      return Json::Value(Hex(field.value()));
    } else {
      JsonWriter writer;
      writer.object_ = Json::Value(Json::objectValue);
      Fields<T>::List(writer, field);
      return writer.object_;
    }
  }

  template <typename T>
  [[nodiscard]] static Json::Value Write(const std::vector<T>& fields) {
    Json::Value array(Json::arrayValue);
    for (const T& field : fields)
      array.append(Write(field));
    return array;
  }

  template <typename T>
  [[nodiscard]] static Json::Value Write(const std::optional<T>& field) {
    return field ? Write(*field) : Json::Value();
  }

  template <typename... T>
  [[nodiscard]] static Json::Value Write(const std::variant<T...>& message) {
    return std::visit(
        []<typename M>(const M& body) {
          Json::Value json(Json::objectValue);
          json["type"] = Alternative<M>::kName;
          json["body"] = Write(body);
          return json;
        },
        message);
  }

 private:
  Json::Value object_;
};

/// Reads fields from a JSON object; the first error stays.
class JsonReader {
 public:
  explicit JsonReader(const Json::Value& object) : object_(object) {
    if (!object.isObject())
      error_ = WireError::kIllTyped;
  }

  template <typename T>
  void operator()(const char* name, T& field) {
    if (error_)
      return;
    if (!object_.isMember(name)) {
      error_ = WireError::kMissingMember;
      return;
    }
    ++members_read_;
    error_ = Read(object_[name], field);
  }

  /// @return the first error, or none when all members were read.
  [[nodiscard]] std::optional<WireError> Finish() const {
    if (!error_ && members_read_ != object_.size())
      return WireError::kUnknownMember;
    return error_;
  }

  template <typename T>
  [[nodiscard]] static std::optional<WireError> Read(const Json::Value& json,
                                                     T& field) {
    if constexpr (std::is_same_v<T, bool>) {
      return json.isBool() ? Set(field, json.asBool()) : IllTyped();
    } else if constexpr (std::is_same_v<T, std::string>) {
      return json.isString() ? Set(field, json.asString()) : IllTyped();
    } else if constexpr (std::is_same_v<T, std::uint64_t>) {
      return ReadHex(json, field) ? std::nullopt : IllTyped();
    } else if constexpr (std::is_enum_v<T>) {
      const auto last = static_cast<Json::UInt>(EnumRange<T>::kLast);
      return json.isUInt() && json.asUInt() <= last
                 ? Set(field, static_cast<T>(json.asUInt()))
                 : IllTyped();
    } else if constexpr (std::unsigned_integral<T>) {
      return json.isUInt() && json.asUInt() <= std::numeric_limits<T>::max()
                 ? Set(field, static_cast<T>(json.asUInt()))
                 : IllTyped();
    } else if constexpr (std::is_same_v<T, Duration>) {
      return json.isInt64() && json.asInt64() >= 0
                 ? Set(field, Duration(json.asInt64()))
                 : IllTyped();
    } else if constexpr (Hexadecimal<T>) {
      std::uint64_t number = 0;
      return ReadHex(json, number) ? Set(field, T(number)) : IllTyped();
    } else {
      JsonReader reader(json);
      Fields<T>::List(reader, field);
      return reader.Finish();
    }
  }

  template <typename T>
  [[nodiscard]] static std::optional<WireError> Read(const Json::Value& json,
                                                     std::vector<T>& fields) {
    if (!json.isArray())
      return WireError::kIllTyped;
    for (const Json::Value& element : json) {
      if (const auto error = Read(element, fields.emplace_back()))
        return error;
    }
    return std::nullopt;
  }

  template <typename T>
  [[nodiscard]] static std::optional<WireError> Read(const Json::Value& json,
                                                     std::optional<T>& field) {
    if (json.isNull())
      return std::nullopt;
    return Read(json, field.emplace());
  }

  template <typename... T>
  [[nodiscard]] static std::optional<WireError> Read(
      const Json::Value& json,
      std::variant<T...>& message) {
    JsonReader reader(json);
    std::string type;
    reader("type", type);
    if (reader.error_ || !json.isMember("body"))
      return reader.error_.value_or(WireError::kMissingMember);
    if (json.size() != 2)
      return WireError::kUnknownMember;
    std::optional<WireError> error = WireError::kIllTyped;
    (ReadAlternative<T>(type, json["body"], message, error) || ...);
    return error;
  }

 private:
  [[nodiscard]] static std::optional<WireError> IllTyped() {
    return WireError::kIllTyped;
  }

  template <typename T, typename V>
  [[nodiscard]] static std::optional<WireError> Set(T& field, V value) {
    field = std::move(value);
    return std::nullopt;
  }

  template <typename T, typename M>
  static bool ReadAlternative(const std::string& type,
                              const Json::Value& body,
                              M& message,
                              std::optional<WireError>& error) {
    if (type != Alternative<T>::kName)
      return false;
    error = Read(body, message.template emplace<T>());
    return true;
  }

  const Json::Value& object_;
  std::size_t members_read_ = 0;
  std::optional<WireError> error_;
};

/// @return the struct that the JSON holds, or the WireError.
template <typename T>
[[nodiscard]] boost::leaf::result<T> ReadJson(const Json::Value& json) {
  T value;
  if (const auto error = JsonReader::Read(json, value))
    return boost::leaf::new_error(*error);
  return value;
}

}  // namespace comfreyvane::wire

#endif  // COMFREYVANE_WIRE_JSON_ARCHIVE_H_

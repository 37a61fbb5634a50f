/// @file
/// Writer of objects as JSON.
#ifndef COMFREYVANE_CONFIG_OBJECT_WRITER_H_
#define COMFREYVANE_CONFIG_OBJECT_WRITER_H_

#include <concepts>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/config/json_quote.h"
#include "comfreyvane/config/members.h"
#include "comfreyvane/config/policy_names.h"

namespace comfreyvane {

/// Writes objects as JSON with members in a fixed order, which jsoncpp does
/// not keep. Each element of a list may begin a line of its own.
class ObjectWriter {
 public:
  /// Whether elements of an object's lists get lines of their own.
  enum class Style { kOneLine, kLines };

  explicit ObjectWriter(Style style) : style_(style) {}

  /// Appends one object.
  /// @param indent spaces before the line on which the object begins.
  template <typename Object>
  void Write(const Object& object, std::size_t indent) {
    out_ += '{';
    bool first = true;
    VisitMembers(object, [&](const char* name, const auto& member) {
      if (!first)
        out_ += ", ";
      first = false;
      out_ += '"';
      out_ += name;
      out_ += "\": ";
      WriteValue(member, indent);
    });
    out_ += '}';
  }

  /// Appends a list of objects.
  /// @param indent spaces before the line on which the list begins.
  template <typename Object>
  void WriteList(const std::vector<Object>& objects, std::size_t indent) {
    out_ += '[';
    bool first = true;
    for (const Object& object : objects) {
      if (!first)
        out_ += style_ == Style::kLines ? "," : ", ";
      first = false;
      BreakLine(indent + 2);
      WriteValue(object, indent + 2);
    }
    if (!objects.empty())
      BreakLine(indent);
    out_ += ']';
  }

  /// Appends text as it is.
  void WriteRaw(std::string_view text) { out_ += text; }

  [[nodiscard]] const std::string& text() const { return out_; }

 private:
  void BreakLine(std::size_t indent) {
    if (style_ == Style::kLines)
      out_ += '\n' + std::string(indent, ' ');
  }

  void WriteValue(const std::string& value, std::size_t) {
    out_ += QuoteJson(value);
  }
  void WriteValue(bool value, std::size_t) { out_ += value ? "true" : "false"; }
  void WriteValue(std::unsigned_integral auto value, std::size_t) {
    out_ += std::to_string(value);
  }
  void WriteValue(Revision value, std::size_t) {
    out_ += std::to_string(value.value());
  }
  template <typename Enum>
  requires std::is_enum_v<Enum>
  void WriteValue(Enum value, std::size_t) {
    out_ += '"';
    out_ += Name(value);
    out_ += '"';
  }
  template <typename Object>
  requires std::is_class_v<Object>
  void WriteValue(const Object& object, std::size_t indent) {
    Write(object, indent);
  }
  template <typename Object>
  void WriteValue(const std::vector<Object>& objects, std::size_t indent) {
    WriteList(objects, indent);
  }

  Style style_;
  std::string out_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_CONFIG_OBJECT_WRITER_H_

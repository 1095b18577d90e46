/// Typed access to the fields of a JSON object, with messages that name the field at fault.
#pragma once

#include "gorsebeam/time.h"

#include <rapidjson/document.h>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <utility>

namespace gorsebeam::settings {

/// The input is malformed; `what()` is a message for a person. The readers of JSON throw it; an
/// interface that must not end the program returns a `FileError` in its place.
class FormatError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

using Json = rapidjson::Value;

/// The characters of a JSON string. `value` must hold a string.
[[nodiscard]] inline std::string string_value(const Json& value) {
  return {value.GetString(), value.GetStringLength()};
}

/// Maps the words of a field to enumerators.
template <typename Enum>
using EnumNames = std::initializer_list<std::pair<const char*, Enum>>;

/// The enumerator for `word`. Throws FormatError that names `field` when there is none.
template <typename Enum>
[[nodiscard]] Enum parse_enum(const std::string& word, const std::string& field,
                              EnumNames<Enum> words) {
  for (const auto& [name, value] : words)
    if (word == name)
      return value;
  throw FormatError("field '" + field + "' holds the unknown word '" + word + "'");
}

/// Reads the fields of one JSON object by name and type. A field that is null counts as absent.
/// The object is borrowed and must outlive the reader. Every function that reads throws FormatError
/// when a required field is absent or a value has another type or is out of range.
class JsonObjectReader {
public:
  /// `location` starts the messages, e.g. "settings.limits".
  JsonObjectReader(const Json& object, std::string location)
      : object_(object), location_(std::move(location)) {
    if (!object_.IsObject())
      throw FormatError(location_ + " is not an object");
  }

  /// The field's value; null when it is absent.
  [[nodiscard]] const Json* find(const char* name) const {
    const auto field = object_.FindMember(name);
    const bool is_absent = field == object_.MemberEnd() || field->value.IsNull();
    return is_absent ? nullptr : &field->value;
  }

  [[nodiscard]] const Json& require(const char* name) const {
    const Json* found = find(name);
    if (!found)
      throw FormatError(location_ + " lacks the field '" + name + "'");
    return *found;
  }

  [[nodiscard]] JsonObjectReader require_object(const char* name) const {
    return {require(name), location_ + "." + name};
  }

  [[nodiscard]] const Json& require_array(const char* name) const {
    const Json& found = require(name);
    if (!found.IsArray())
      throw_invalid(name, "a list");
    return found;
  }

  [[nodiscard]] std::int64_t read_integer(const char* name) const {
    return to_integer(name, require(name));
  }

  [[nodiscard]] std::int64_t read_integer(const char* name, std::int64_t fallback) const {
    const Json* found = find(name);
    return found ? to_integer(name, *found) : fallback;
  }

  /// A whole number from `min` to `max`, both included.
  [[nodiscard]] std::int64_t read_integer_in_range(const char* name, std::int64_t min,
                                                   std::int64_t max, std::int64_t fallback) const {
    const std::int64_t value = read_integer(name, fallback);
    if (value < min || value > max)
      throw_invalid(name,
                    "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return value;
  }

  [[nodiscard]] std::uint32_t read_uint32(const char* name) const {
    constexpr std::int64_t kMaxUint32 = 0xffffffffLL;
    static_cast<void>(require(name));
    return static_cast<std::uint32_t>(read_integer_in_range(name, 0, kMaxUint32, 0));
  }

  /// A number of nanoseconds, at most eleven days: sums of a few cannot overflow.
  [[nodiscard]] Duration read_duration(const char* name, Duration fallback) const {
    constexpr Duration kMaxDuration = 1'000'000s;
    return Duration(read_integer_in_range(name, 0, kMaxDuration.count(), fallback.count()));
  }

  [[nodiscard]] Duration read_duration(const char* name) const {
    static_cast<void>(require(name));
    return read_duration(name, 0ms);
  }

  [[nodiscard]] double read_number(const char* name, double fallback) const {
    const Json* found = find(name);
    if (!found)
      return fallback;
    if (!found->IsNumber())
      throw_invalid(name, "a number");
    return found->GetDouble();
  }

  /// A number of zero or more.
  [[nodiscard]] double read_non_negative(const char* name, double fallback) const {
    const double value = read_number(name, fallback);
    const bool is_non_negative = value >= 0;  // false also for what is not a number
    if (!is_non_negative)
      throw_invalid(name, "a number of zero or more");
    return value;
  }

  /// False when the field is absent.
  [[nodiscard]] bool read_bool(const char* name) const {
    const Json* found = find(name);
    if (!found)
      return false;
    if (!found->IsBool())
      throw_invalid(name, "true or false");
    return found->GetBool();
  }

  [[nodiscard]] std::string read_string(const char* name) const {
    const Json& found = require(name);
    if (!found.IsString())
      throw_invalid(name, "a text");
    return string_value(found);
  }

  [[nodiscard]] std::string read_string(const char* name, const char* fallback) const {
    return find(name) ? read_string(name) : std::string(fallback);
  }

  template <typename Enum>
  [[nodiscard]] Enum read_enum(const char* name, EnumNames<Enum> words) const {
    return parse_enum<Enum>(read_string(name), name, words);
  }

  /// `fallback` is the word that an absent field stands for.
  template <typename Enum>
  [[nodiscard]] Enum read_enum(const char* name, const char* fallback,
                               EnumNames<Enum> words) const {
    return parse_enum<Enum>(read_string(name, fallback), name, words);
  }

  /// Throws the FormatError "LOCATION: the field 'NAME' is not EXPECTED".
  [[noreturn]] void throw_invalid(const std::string& name, const std::string& expected) const {
    throw FormatError(location_ + ": the field '" + name + "' is not " + expected);
  }

private:
  /// Accepts doubles without a fraction, as some writers of JSON have no integers.
  [[nodiscard]] std::int64_t to_integer(const char* name, const Json& value) const {
    constexpr double kMaxExactDouble = 9e15;
    if (value.IsInt64())
      return value.GetInt64();
    if (value.IsDouble() && std::floor(value.GetDouble()) == value.GetDouble() &&
        std::fabs(value.GetDouble()) < kMaxExactDouble)
      return static_cast<std::int64_t>(value.GetDouble());
    throw_invalid(name, "a whole number");
  }

  const Json& object_;
  std::string location_;
};

}  // namespace gorsebeam::settings

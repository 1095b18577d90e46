/// Typed access to the fields of a JSON object, with error messages that name the invalid field.
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

/// Malformed input; `what()` is an error message for the operator. The functions that read JSON
/// throw it; functions whose callers must go on running catch it and return a `FileError`.
class FormatError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

using Json = rapidjson::Value;

/// The text of `value`, which must be a JSON string.
[[nodiscard]] inline std::string string_value(const Json& value) {
  return {value.GetString(), value.GetStringLength()};
}

/// The texts that a field may hold, with the enumerator for each.
template <typename Enum>
using EnumNames = std::initializer_list<std::pair<const char*, Enum>>;

/// The enumerator whose name is `text`. Throws a FormatError that names `field` if there is none.
template <typename Enum>
[[nodiscard]] Enum parse_enum(const std::string& text, const std::string& field,
                              EnumNames<Enum> names) {
  for (const auto& [name, value] : names)
    if (text == name)
      return value;
  throw FormatError("field '" + field + "' has the unknown value '" + text + "'");
}

/// Reads the fields of one JSON object by name and type. A field that is null counts as absent.
/// The reader keeps a reference to the object, which must outlive it. A function without a
/// `fallback` requires the field, unless its comment says otherwise. All functions throw
/// FormatError if a required field is absent, a value has the wrong type or a value is out of
/// range.
class JsonObjectReader {
public:
  /// `location` names the object at the start of error messages, e.g. "settings.limits".
  JsonObjectReader(const Json& object, std::string location)
      : object_(object), location_(std::move(location)) {
    if (!object_.IsObject())
      throw FormatError(location_ + " must be an object");
  }

  /// The field's value, or null if the field is absent.
  [[nodiscard]] const Json* find(const char* name) const {
    const auto field = object_.FindMember(name);
    const bool is_absent = field == object_.MemberEnd() || field->value.IsNull();
    return is_absent ? nullptr : &field->value;
  }

  [[nodiscard]] const Json& require(const char* name) const {
    const Json* found = find(name);
    if (!found)
      throw FormatError(location_ + ": the field '" + name + "' is missing");
    return *found;
  }

  [[nodiscard]] JsonObjectReader require_object(const char* name) const {
    return {require(name), location_ + "." + name};
  }

  [[nodiscard]] const Json& require_array(const char* name) const {
    const Json& found = require(name);
    if (!found.IsArray())
      throw_invalid(name, "an array");
    return found;
  }

  [[nodiscard]] std::int64_t read_integer(const char* name) const {
    return to_integer(name, require(name));
  }

  [[nodiscard]] std::int64_t read_integer(const char* name, std::int64_t fallback) const {
    const Json* found = find(name);
    return found ? to_integer(name, *found) : fallback;
  }

  /// Reads an integer from `min` to `max`, both included.
  [[nodiscard]] std::int64_t read_integer_in_range(const char* name, std::int64_t min,
                                                   std::int64_t max, std::int64_t fallback) const {
    const std::int64_t value = read_integer(name, fallback);
    if (value < min || value > max)
      throw_invalid(name, "an integer from " + std::to_string(min) + " to " + std::to_string(max) +
                              ", but is " + std::to_string(value));
    return value;
  }

  [[nodiscard]] std::uint32_t read_uint32(const char* name) const {
    constexpr std::int64_t kMaxUint32 = 0xffffffffLL;
    static_cast<void>(require(name));
    return static_cast<std::uint32_t>(read_integer_in_range(name, 0, kMaxUint32, 0));
  }

  /// Reads a number of nanoseconds. The limit of 1,000,000 s, over eleven days, keeps sums of
  /// several durations from overflowing.
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

  /// Reads a number that is not negative.
  [[nodiscard]] double read_non_negative(const char* name, double fallback) const {
    const double value = read_number(name, fallback);
    const bool is_non_negative = value >= 0;  // also false for NaN
    if (!is_non_negative)
      throw_invalid(name, "a number of at least 0, but is " + std::to_string(value));
    return value;
  }

  /// Returns false if the field is absent.
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
      throw_invalid(name, "a string");
    return string_value(found);
  }

  [[nodiscard]] std::string read_string(const char* name, const char* fallback) const {
    return find(name) ? read_string(name) : std::string(fallback);
  }

  template <typename Enum>
  [[nodiscard]] Enum read_enum(const char* name, EnumNames<Enum> names) const {
    return parse_enum<Enum>(read_string(name), name, names);
  }

  /// `fallback` is the text that is used if the field is absent.
  template <typename Enum>
  [[nodiscard]] Enum read_enum(const char* name, const char* fallback,
                               EnumNames<Enum> names) const {
    return parse_enum<Enum>(read_string(name, fallback), name, names);
  }

  /// Throws the FormatError "LOCATION: the field 'NAME' must be EXPECTED".
  [[noreturn]] void throw_invalid(const std::string& name, const std::string& expected) const {
    throw FormatError(location_ + ": the field '" + name + "' must be " + expected);
  }

private:
  /// Also accepts doubles without a fraction, as some JSON libraries write integers like 3.0.
  /// Doubles of 9e15 and more are rejected, as not every integer above 2^53 has an exact double.
  [[nodiscard]] std::int64_t to_integer(const char* name, const Json& value) const {
    constexpr double kMaxExactDouble = 9e15;
    if (value.IsInt64())
      return value.GetInt64();
    if (value.IsDouble() && std::floor(value.GetDouble()) == value.GetDouble() &&
        std::fabs(value.GetDouble()) < kMaxExactDouble)
      return static_cast<std::int64_t>(value.GetDouble());
    throw_invalid(name, "an integer");
  }

  const Json& object_;
  std::string location_;
};

}  // namespace gorsebeam::settings

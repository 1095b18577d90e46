// Reading JSON objects by field, with plain words on what is missing or wrong.
#pragma once

#include <rapidjson/document.h>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <utility>

namespace gorsebeam::settings {

// What is wrong with the input, in words for a person.
struct FormatError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What is wrong in a file, where lines count from 1.
inline FormatError field_error(const std::string& path, std::size_t line, const std::string& field,
                               const std::string& what) {
  return FormatError(path + ": line " + std::to_string(line) + ": field '" + field + "': " + what);
}

using Json = rapidjson::Value;

inline std::string text_of(const Json& value) {
  return {value.GetString(), value.GetStringLength()};
}

template <typename T>
T choose(const std::string& word, const std::string& field,
         std::initializer_list<std::pair<const char*, T>> words) {
  for (const auto& [name, value] : words)
    if (word == name)
      return value;
  throw FormatError("field '" + field + "' holds the unknown word '" + word + "'");
}

// A JSON object whose fields are asked for by name and type.
class Reader {
public:
  Reader(const Json& value, std::string where) : value_(value), where_(std::move(where)) {
    if (!value_.IsObject())
      throw FormatError(where_ + " is not an object");
  }

  const Json* find(const char* name) const {
    const auto it = value_.FindMember(name);
    return it == value_.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
  }

  const Json& need(const char* name) const {
    const Json* found = find(name);
    if (!found)
      throw FormatError(where_ + " lacks the field '" + name + "'");
    return *found;
  }

  std::int64_t integer(const char* name) const { return integer(name, need(name)); }

  std::int64_t integer(const char* name, std::int64_t fallback) const {
    const Json* found = find(name);
    return found ? integer(name, *found) : fallback;
  }

  std::int64_t within(const char* name, std::int64_t least, std::int64_t most,
                      std::int64_t fallback) const {
    const std::int64_t value = integer(name, fallback);
    if (value < least || value > most)
      wrong(name, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return value;
  }

  // Nanoseconds, up to eleven days: sums of a few cannot overflow.
  std::int64_t time(const char* name, std::int64_t fallback) const {
    return within(name, 0, 1'000'000'000'000'000, fallback);
  }

  std::int64_t time(const char* name) const { return need(name), time(name, 0); }

  double number(const char* name, double fallback) const {
    const Json* found = find(name);
    if (!found)
      return fallback;
    if (!found->IsNumber())
      wrong(name, "a number");
    return found->GetDouble();
  }

  double amount(const char* name, double fallback) const {  // zero or more
    const double value = number(name, fallback);
    if (!(value >= 0))
      wrong(name, "a number of zero or more");
    return value;
  }

  bool truth(const char* name, bool fallback = false) const {
    const Json* found = find(name);
    if (!found)
      return fallback;
    if (!found->IsBool())
      wrong(name, "true or false");
    return found->GetBool();
  }

  std::string text(const char* name) const {
    const Json& found = need(name);
    if (!found.IsString())
      wrong(name, "a text");
    return text_of(found);
  }

  std::string text(const char* name, const char* fallback) const {
    return find(name) ? text(name) : std::string(fallback);
  }

  const Json& array(const char* name) const {
    const Json& found = need(name);
    if (!found.IsArray())
      wrong(name, "a list");
    return found;
  }

  Reader object(const char* name) const { return {need(name), where_ + "." + name}; }

  std::uint32_t small(const char* name) const {  // a whole number below 2^32
    return need(name), static_cast<std::uint32_t>(within(name, 0, 0xffffffffLL, 0));
  }

  [[noreturn]] void wrong(const std::string& name, const std::string& wanted) const {
    throw FormatError(where_ + ": the field '" + name + "' is not " + wanted);
  }

private:
  std::int64_t integer(const char* name, const Json& found) const {
    if (found.IsInt64())
      return found.GetInt64();
    if (found.IsDouble() && std::floor(found.GetDouble()) == found.GetDouble() &&
        std::fabs(found.GetDouble()) < 9e15)
      return static_cast<std::int64_t>(found.GetDouble());
    wrong(name, "a whole number");
  }

  const Json& value_;
  std::string where_;
};

}  // namespace gorsebeam::settings

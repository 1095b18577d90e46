/// A value or a typed error, for functions that can fail without ending the program.
#pragma once

#include <cassert>
#include <utility>
#include <variant>

namespace gorsebeam::common {

/// Holds either a `Value` or an `Error`, which must be different types. Call `has_value()` first:
/// `value()` of an error and `error()` of a value are programming errors.
template <typename Value, typename Error>
class [[nodiscard]] Result {
public:
  // The constructors are implicit, so that a function can return a value or an error directly.
  Result(Value value) : content_(std::in_place_index<0>, std::move(value)) {}

  Result(Error error) : content_(std::in_place_index<1>, std::move(error)) {}

  [[nodiscard]] bool has_value() const { return content_.index() == 0; }

  explicit operator bool() const { return has_value(); }

  [[nodiscard]] const Value& value() const {
    assert(has_value());
    return *std::get_if<0>(&content_);
  }

  [[nodiscard]] Value& value() {
    assert(has_value());
    return *std::get_if<0>(&content_);
  }

  [[nodiscard]] const Error& error() const {
    assert(!has_value());
    return *std::get_if<1>(&content_);
  }

private:
  std::variant<Value, Error> content_;
};

}  // namespace gorsebeam::common

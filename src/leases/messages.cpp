#include "messages.h"

#include <algorithm>

namespace gorsebeam::leases {
namespace {

bool is_name_character(char c) {
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool is_digit = c >= '0' && c <= '9';
  return is_letter || is_digit || c == '.' || c == '_' || c == '-' || c == '~';
}

}  // namespace

bool is_valid_name(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), is_name_character);
}

std::string gateway_name(const std::string& holder) {
  return holder.substr(0, holder.find('~'));
}

}  // namespace gorsebeam::leases

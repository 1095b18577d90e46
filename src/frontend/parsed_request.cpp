#include "parsed_request.h"

namespace gorsebeam::frontend {

std::optional<NamedClass> RequestClasses::find(const std::string& name) const {
  const auto found = indexes_.find(name);
  if (found == indexes_.end())
    return std::nullopt;
  return NamedClass{found->second, classes_[found->second]};
}

bool is_write(const RequestClass& request_class) {
  return request_class.consistency == ConsistencyLevel::Write;
}

bool belongs_to_session(const RequestClass& request_class) {
  return is_write(request_class) || request_class.consistency == ConsistencyLevel::Session;
}

}  // namespace gorsebeam::frontend

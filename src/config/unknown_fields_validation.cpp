#include "validation.h"

#include <vector>

namespace gorsebeam::config {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

const Message& nested_message(const Message& message, const FieldDescriptor* field, int index) {
  const google::protobuf::Reflection* reflection = message.GetReflection();
  return field->is_repeated() ? reflection->GetRepeatedMessage(message, field, index)
                              : reflection->GetMessage(message, field);
}

std::optional<ValidationError> validate_nested(const Message& message,
                                               const FieldDescriptor* field) {
  const int count = field->is_repeated() ? message.GetReflection()->FieldSize(message, field) : 1;
  for (int i = 0; i < count; ++i) {
    auto error = validate_no_unknown_fields(nested_message(message, field, i));
    if (!error)
      continue;
    error->path.insert(error->path.begin(), {field->name(), field->is_repeated() ? i : -1});
    return error;
  }
  return std::nullopt;
}

}  // namespace

std::optional<ValidationError> validate_no_unknown_fields(const Message& message) {
  const google::protobuf::Reflection* reflection = message.GetReflection();
  const auto& unknown = reflection->GetUnknownFields(message);
  if (!unknown.empty())
    return ValidationError{{},
                           "field number " + std::to_string(unknown.field(0).number()) + " of " +
                               message.GetDescriptor()->name() +
                               " is not known to this version; leave it out"};
  std::vector<const FieldDescriptor*> fields;
  reflection->ListFields(message, &fields);
  for (const FieldDescriptor* field : fields) {
    if (field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE)
      continue;
    if (auto error = validate_nested(message, field))
      return error;
  }
  return std::nullopt;
}

}  // namespace gorsebeam::config

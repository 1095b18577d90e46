#include "operator_file_differences.h"

#include <google/protobuf/text_format.h>
#include <google/protobuf/util/message_differencer.h>

namespace gorsebeam::config {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::TextFormat;
using google::protobuf::util::MessageDifferencer;

using DifferencePath = std::vector<MessageDifferencer::SpecificField>;

enum class Side { Before, After };

/// One of the messages that are compared.
struct Root {
  const Message& message;
  Side side;
};

bool is_message(const FieldDescriptor* field) {
  return field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
}

int index_on(Side side, const MessageDifferencer::SpecificField& step) {
  return side == Side::Before ? step.index : step.new_index;
}

const Message& nested_message(const Message& parent, const MessageDifferencer::SpecificField& step,
                              Side side) {
  const auto* reflection = parent.GetReflection();
  return step.field->is_repeated()
             ? reflection->GetRepeatedMessage(parent, step.field, index_on(side, step))
             : reflection->GetMessage(parent, step.field);
}

/// The value of the field "name"; empty if the message type has no such field.
std::string name_of(const Message& message) {
  const FieldDescriptor* field = message.GetDescriptor()->FindFieldByName("name");
  return field ? message.GetReflection()->GetString(message, field) : "";
}

/// Describes a path with the names of the messages on it, e.g. "contracts team 'a'.budget".
std::string describe_path(const Root& root, const DifferencePath& path) {
  const Message* message = &root.message;
  std::string text;
  for (const auto& step : path) {
    std::string name;
    if (is_message(step.field)) {
      message = &nested_message(*message, step, root.side);
      if (step.field->is_repeated())
        name = name_of(*message);
    }
    if (!text.empty())
      text += name.empty() ? "." : " ";
    text += step.field->name();
    if (!name.empty())
      text += " '" + name + "'";
  }
  return text;
}

/// Describes the value at the end of `path`, with a leading space; empty if it is a message.
std::string describe_value(const Root& root, const DifferencePath& path) {
  const Message* message = &root.message;
  for (const auto& step : path) {
    if (is_message(step.field)) {
      message = &nested_message(*message, step, root.side);
      continue;
    }
    const int index = step.field->is_repeated() ? index_on(root.side, step) : -1;
    std::string text;
    TextFormat::PrintFieldValueToString(*message, step.field, index, &text);
    return " " + text;
  }
  return "";
}

/// Collects a line for each difference. The library passes the innermost messages to the functions
/// below, while paths start at the root messages, so the collector keeps references to the roots;
/// they must outlive it.
class DifferenceCollector : public MessageDifferencer::Reporter {
public:
  DifferenceCollector(const Message& before, const Message& after)
      : before_{before, Side::Before}, after_{after, Side::After} {}

  void ReportAdded(const Message& /*before*/, const Message& /*after*/,
                   const DifferencePath& path) override {
    lines_.push_back(describe_path(after_, path) + ": added" + describe_value(after_, path));
  }

  void ReportDeleted(const Message& /*before*/, const Message& /*after*/,
                     const DifferencePath& path) override {
    lines_.push_back(describe_path(before_, path) + ": removed" + describe_value(before_, path));
  }

  void ReportModified(const Message& /*before*/, const Message& /*after*/,
                      const DifferencePath& path) override {
    // The library reports a modified message and each of its modified fields; the fields suffice.
    if (is_message(path.back().field))
      return;
    lines_.push_back(describe_path(before_, path) + ":" + describe_value(before_, path) + " ->" +
                     describe_value(after_, path));
  }

  [[nodiscard]] const std::vector<std::string>& lines() const { return lines_; }

private:
  Root before_;
  Root after_;
  std::vector<std::string> lines_;
};

/// The file's message with the rows of its inventories in place of the inventories' paths.
pb::Gateway expand_inventories(const OperatorFile& file) {
  pb::Gateway gateway = file.gateway;
  *gateway.mutable_members() = file.members;
  gateway.mutable_postgres()->clear_inventory();
  gateway.mutable_mongo()->clear_inventory();
  return gateway;
}

void match_by_name(MessageDifferencer& differencer, const Descriptor* type,
                   const char* field_name) {
  const FieldDescriptor* field = type->FindFieldByName(field_name);
  differencer.TreatAsMap(field, field->message_type()->FindFieldByName("name"));
}

}  // namespace

std::vector<std::string> describe_differences(const OperatorFile& before,
                                              const OperatorFile& after) {
  const pb::Gateway expanded_before = expand_inventories(before);
  const pb::Gateway expanded_after = expand_inventories(after);
  MessageDifferencer differencer;
  match_by_name(differencer, pb::Contracts::descriptor(), "team");
  match_by_name(differencer, pb::Team::descriptor(), "class");
  match_by_name(differencer, pb::Members::descriptor(), "postgres");
  match_by_name(differencer, pb::Members::descriptor(), "mongo");
  differencer.TreatAsSet(pb::Team::descriptor()->FindFieldByName("group"));
  differencer.set_message_field_comparison(MessageDifferencer::EQUIVALENT);
  DifferenceCollector collector(expanded_before, expanded_after);
  differencer.ReportDifferencesTo(&collector);
  differencer.Compare(expanded_before, expanded_after);
  return collector.lines();
}

}  // namespace gorsebeam::config

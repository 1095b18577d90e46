#include "client_message.h"

namespace gorsebeam::postgres {

MessageKind kind_of(const Message& message) {
  switch (message.type) {
  case 'Q':
    return MessageKind::Query;
  case 'X':
    return MessageKind::Terminate;
  case 'S':
    return MessageKind::Sync;
  case 'P':  // Parse
  case 'B':  // Bind
  case 'D':  // Describe
  case 'E':  // Execute
  case 'C':  // Close
  case 'H':  // Flush
    return MessageKind::ExtendedQuery;
  case 'F':
    return MessageKind::FunctionCall;
  default:
    return MessageKind::Unknown;
  }
}

common::Result<std::string_view, SqlError> read_query(const Message& message) {
  if (message.body.empty() || message.body.back() != '\0')
    return SqlError{kProtocolViolation, "a query does not end in a zero byte"};
  const std::string_view text = message.body.substr(0, message.body.size() - 1);
  if (text.find('\0') != std::string_view::npos)
    return SqlError{kProtocolViolation, "a query holds a zero byte"};
  return text;
}

}  // namespace gorsebeam::postgres

/// PostgreSQL's frontend/backend protocol 3.0 for test clients and stub endpoints, from its public
/// description.
#include "protocol.h"

#include <cstdlib>
#include <glib.h>

namespace test_harness {
namespace {

constexpr std::uint32_t kProtocolVersion3 = 196608;
constexpr std::uint32_t kAuthenticationOk = 0;

constexpr char kAuthentication = 'R';
constexpr char kParameterStatus = 'S';
constexpr char kReadyForQuery = 'Z';
constexpr char kRowDescription = 'T';
constexpr char kDataRow = 'D';
constexpr char kCommandComplete = 'C';
constexpr char kErrorResponse = 'E';
constexpr char kEmptyQueryResponse = 'I';
constexpr char kNoticeResponse = 'N';
constexpr char kQuery = 'Q';

// A message has a type and a length, which counts itself but not the type.
constexpr std::size_t kTypeBytes = 1;
constexpr std::size_t kHeaderBytes = 5;

std::int64_t now_ms() {
  return g_get_real_time() / 1000;
}

std::string encode_big_endian(std::uint32_t value) {
  return {static_cast<char>(value >> 24), static_cast<char>(value >> 16),
          static_cast<char>(value >> 8), static_cast<char>(value)};
}

std::uint32_t decode_big_endian(const std::string& input, std::size_t position) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i)
    value = value << 8 | static_cast<unsigned char>(input[position + i]);
  return value;
}

std::string prepend_length(const std::string& body) {
  return encode_big_endian(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

std::string encode_message(char type, const std::string& body) {
  return type + prepend_length(body);
}

std::string encode_ready_for_query() {
  return encode_message(kReadyForQuery, "I");
}

// A result of one row: the row's description, the row and the end of the command. The only column
// has the name `data`, no table, type bytea (OID 17), no fixed size, no modifier and binary format.
std::string encode_row_result(const std::string& value) {
  const std::string column = std::string("data\0", 5) + encode_big_endian(0) +
                             std::string(2, '\0') + encode_big_endian(17) + std::string(2, '\xff') +
                             encode_big_endian(0xffffffff) + std::string("\0\1", 2);
  return encode_message(kRowDescription, std::string("\0\1", 2) + column) +
         encode_message(kDataRow, std::string("\0\1", 2) +
                                      encode_big_endian(static_cast<std::uint32_t>(value.size())) +
                                      value) +
         encode_message(kCommandComplete, std::string("SELECT 1\0", 9));
}

// The fields of an error or a notice: severity, SQLSTATE and text.
std::string encode_error_fields(const std::string& severity, const std::string& sql_state) {
  const std::string end(1, '\0');
  return "S" + severity + end + "C" + sql_state + end + "Mscripted" + end + end;
}

std::string encode_error(const std::string& sql_state) {
  return encode_message(kErrorResponse, encode_error_fields("ERROR", sql_state)) +
         encode_ready_for_query();
}

std::string encode_parameter_status(const std::string& name, const std::string& value) {
  return encode_message(kParameterStatus, name + '\0' + value + '\0');
}

std::string encode_replication_status(const ReplicationStatus& replication) {
  return encode_parameter_status("part", replication.is_primary ? "master" : "replica") +
         encode_parameter_status("caught_up_to", std::to_string(now_ms() - replication.lag_ms));
}

// A successful response with parameter statuses that are out of range or malformed.
std::string encode_malformed_report(const ReplicationStatus& replication,
                                    const std::string& value) {
  return encode_row_result(value) + encode_replication_status(replication) +
         encode_message(kParameterStatus, std::string("gauges\0x0=nonsense,x1=7q\0\0", 26)) +
         encode_message(kParameterStatus, std::string("caught_up_to\0"
                                                      "99999999999999\0",
                                                      28)) +
         encode_message(kParameterStatus, "no end") + encode_ready_for_query();
}

std::string encode_unbounded_response(const std::string& value) {
  constexpr std::size_t kMinBytes = 400'000;  // the gateway reads at most 256 KiB
  std::string response = encode_row_result(value);
  while (response.size() < kMinBytes)
    response += encode_parameter_status("part", "and so on");
  return response;
}

// Returns the text after `prefix` up to the first of `terminators`; empty if `text` has no
// `prefix`.
std::string text_after(const std::string& text, const std::string& prefix,
                       const std::string& terminators) {
  const std::size_t found = text.find(prefix);
  if (found == std::string::npos)
    return "";
  const std::size_t begin = found + prefix.size();
  return text.substr(begin, text.find_first_of(terminators, begin) - begin);
}

Request decode_request(const std::string& statement) {
  constexpr const char* kTerminators = ", ";
  Request request{
      text_after(statement, "id=", kTerminators), text_after(statement, ",c=", kTerminators),
      text_after(statement, ",k=", kTerminators), 0, statement.compare(0, 6, "INSERT") == 0};
  request.timeout_ms = std::atoi(text_after(statement, ",d=", kTerminators).c_str());
  return request;
}

// Collects the messages of a response.
class ResponseDecoder {
public:
  void add(char type, const std::string& body) {
    const bool is_error = type == kErrorResponse;
    if (type == kAuthentication)
      is_handshake_ = true;
    if (type == kCommandComplete)
      result_ = ClientResult::Served;
    if (type == kDataRow)
      value_ = body.substr(6);  // after the column count and the value's length
    if (is_error)
      result_ = body.find(std::string("C53300\0", 7)) != std::string::npos ? ClientResult::Rejected
                                                                           : ClientResult::Failed;
    const bool is_fatal = is_error && body.compare(0, 6, "SFATAL") == 0;
    is_complete_ = type == kReadyForQuery || is_fatal;
  }

  [[nodiscard]] bool is_complete() const { return is_complete_; }

  // Whether the messages complete the handshake and hold no result.
  [[nodiscard]] bool is_handshake_reply() const { return is_handshake_ && !result_; }

  [[nodiscard]] std::optional<ClientResponse> response() const {
    if (!result_)
      return std::nullopt;
    return ClientResponse{*result_, value_};
  }

private:
  bool is_handshake_ = false;
  bool is_complete_ = false;
  std::optional<ClientResult> result_;
  std::optional<std::string> value_;
};

class PostgresProtocol : public Protocol {
public:
  [[nodiscard]] const char* name() const override { return "postgres"; }

  [[nodiscard]] std::string client_handshake() const override {
    return prepend_length(encode_big_endian(kProtocolVersion3) +
                          std::string("user\0portal\0database\0crm\0\0", 26));
  }

  [[nodiscard]] std::string encode_request(const Request& request) const override {
    const std::string annotations = " /* id=" + request.id + ",c=" + request.service_class +
                                    ",d=" + std::to_string(request.timeout_ms) +
                                    (request.is_write ? ",k=" + key_of(request) : "") +
                                    ",cluster=0 */";
    if (!request.statement.empty())
      return encode_message(kQuery, request.statement + annotations + '\0');
    return encode_message(
        kQuery,
        (request.is_write ? "INSERT INTO facts (code, data) VALUES ('7f', '\\x9f') RETURNING data"
                          : "SELECT data FROM facts WHERE code = '7f'") +
            annotations + '\0');
  }

  std::optional<ClientResponse> decode_response(std::string& input) const override {
    ResponseDecoder decoder;
    std::size_t position = 0;
    while (input.size() >= position + kHeaderBytes) {
      const std::size_t size = kTypeBytes + decode_big_endian(input, position + kTypeBytes);
      if (input.size() < position + size)
        break;
      decoder.add(input[position], input.substr(position + kHeaderBytes, size - kHeaderBytes));
      position += size;
      if (!decoder.is_complete())
        continue;
      input.erase(0, position);
      position = 0;
      if (!decoder.is_handshake_reply())
        return decoder.response();
      decoder = ResponseDecoder();
    }
    return std::nullopt;
  }

  std::optional<EndpointMessage>
  decode_endpoint_message(std::string& input, const ReplicationStatus& replication) const override {
    if (input.size() < kHeaderBytes)
      return std::nullopt;
    if (input[0] == '\0') {  // a startup message has no type
      if (input.size() < decode_big_endian(input, 0))
        return std::nullopt;
      input.erase(0, decode_big_endian(input, 0));
      return EndpointMessage{std::nullopt,
                             encode_message(kAuthentication, encode_big_endian(kAuthenticationOk)) +
                                 encode_ready_for_query()};
    }
    const std::size_t size = kTypeBytes + decode_big_endian(input, kTypeBytes);
    if (input.size() < size)
      return std::nullopt;
    const std::string statement = input.substr(kHeaderBytes, size - kHeaderBytes - 1);
    input.erase(0, size);
    if (statement.empty())
      return EndpointMessage{
          std::nullopt, encode_message(kEmptyQueryResponse, "") + encode_ready_for_query(), true};
    if (statement != "SHOW gauges")
      return EndpointMessage{decode_request(statement), ""};
    const std::string seconds =
        std::to_string(static_cast<double>(now_ms() - replication.lag_ms) / 1000);
    return EndpointMessage{std::nullopt, encode_row_result("x0=" + seconds + ",x1=" +
                                                           (replication.is_primary ? "1" : "0")) +
                                             encode_ready_for_query()};
  }

  [[nodiscard]] std::string encode_response(ScriptedResponse response,
                                            const ReplicationStatus& replication,
                                            const std::string& value) const override {
    const std::string status = encode_replication_status(replication);
    switch (response) {
    case ScriptedResponse::RejectNotPrimary:
      return status + encode_error("25006");
    case ScriptedResponse::Fail:
      return encode_error("XX000");
    case ScriptedResponse::RejectOverloaded:
      return encode_error("53300");
    case ScriptedResponse::Garbage:
      return "not a message, and longer than a message header";
    case ScriptedResponse::Truncated:
      return encode_row_result(value).substr(0, 60);
    case ScriptedResponse::OversizedLength:
      return encode_row_result(value).substr(0, 31) + "D\xc0" + std::string(3, '\0') + "and so on";
    case ScriptedResponse::UnboundedResponse:
      return encode_unbounded_response(value);
    case ScriptedResponse::Duplicate:
      return encode_row_result(value) + status + encode_ready_for_query() +
             encode_row_result("a copy") + encode_ready_for_query();
    case ScriptedResponse::MalformedReport:
      return encode_malformed_report(replication, value);
    default:
      return encode_row_result(value) + status + encode_ready_for_query();
    }
  }

  [[nodiscard]] std::string encode_unsolicited_message() const override {
    return encode_message(kNoticeResponse, encode_error_fields("NOTICE", "00000"));
  }
};

}  // namespace

const Protocol& postgres() {
  static const PostgresProtocol kProtocol;
  return kProtocol;
}

}  // namespace test_harness

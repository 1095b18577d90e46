/// The wire formats of PostgreSQL and MongoDB, for test clients and stub endpoints.
#pragma once

#include <optional>
#include <ostream>
#include <string>

namespace test_harness {

/// What a stub endpoint does with a request.
enum class ScriptedResponse {
  Succeed,
  RejectNotPrimary,   ///< Rejects a write, as a replica does.
  Fail,               ///< Reports an internal error; the request may have run.
  RejectOverloaded,   ///< Rejects for lack of capacity; the request did not run.
  CloseConnection,    ///< Closes the connection instead of responding.
  NoResponse,         ///< Never responds.
  Garbage,            ///< Sends bytes that are no valid message.
  Truncated,          ///< Announces more bytes than it sends.
  OversizedLength,    ///< Announces a response of more than 1 GB.
  Duplicate,          ///< Sends a second response right after a valid one.
  MalformedReport,    ///< Sends a valid response with a malformed load report and position.
  UnboundedResponse,  ///< Sends more well-formed bytes than a response may have.
  RepeatPrevious,     ///< Sends the connection's previous response again, and then a valid one.
};

/// How a request ended for its client.
enum class ClientResult { Served, Rejected, Failed };

inline std::ostream& operator<<(std::ostream& stream, ClientResult result) {
  switch (result) {
  case ClientResult::Served:
    return stream << "Served";
  case ClientResult::Rejected:
    return stream << "Rejected";
  case ClientResult::Failed:
    return stream << "Failed";
  }
  return stream << "unknown";
}

/// A request as a client writes it and as an endpoint reads it.
struct Request {
  std::string id;
  std::string service_class = "any";
  std::string idempotency_key{};  ///< Of a write; if empty, a key of its own.
  int timeout_ms = 2000;
  bool is_write = false;
  std::string statement{};  ///< PostgreSQL only; if empty, the statement follows from `is_write`.
};

/// The idempotency key that a client writes for `request`.
inline std::string key_of(const Request& request) {
  return request.idempotency_key.empty() ? "key of " + request.id : request.idempotency_key;
}

/// The replication state that an endpoint reports.
struct ReplicationStatus {
  bool is_primary = false;
  int lag_ms = 0;  ///< How far its replication position lies behind the present.
};

/// A response as its client reads it.
struct ClientResponse {
  ClientResult result = ClientResult::Served;
  std::optional<std::string> value;
};

/// A message of the gateway as an endpoint reads it.
struct EndpointMessage {
  std::optional<Request> request;  ///< Empty for a handshake, a health check or an empty query.
  std::string reply;               ///< The reply to such a message; else empty.
  bool is_empty_query = false;     ///< A PostgreSQL query without a statement, which has no effect.
};

/// Encodes and decodes one wire protocol as clients and endpoints of the gateway do.
class Protocol {
public:
  virtual ~Protocol() = default;
  /// The name of the protocol in test names, `postgres` or `mongo`.
  [[nodiscard]] virtual const char* name() const = 0;
  [[nodiscard]] virtual std::string client_handshake() const = 0;
  [[nodiscard]] virtual std::string encode_request(const Request& request) const = 0;
  /// Removes one response from `input` and returns it; empty while the response is incomplete.
  virtual std::optional<ClientResponse> decode_response(std::string& input) const = 0;
  /// Removes one message from `input` and returns it; empty while the message is incomplete. The
  /// reply to a health check reports `replication`.
  virtual std::optional<EndpointMessage>
  decode_endpoint_message(std::string& input, const ReplicationStatus& replication) const = 0;
  [[nodiscard]] virtual std::string encode_response(ScriptedResponse response,
                                                    const ReplicationStatus& replication,
                                                    const std::string& value) const = 0;
  /// A complete message that belongs to no request.
  [[nodiscard]] virtual std::string encode_unsolicited_message() const = 0;
};

[[nodiscard]] const Protocol& postgres();
[[nodiscard]] const Protocol& mongo();

}  // namespace test_harness

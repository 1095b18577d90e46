/// PostgreSQL's frontend/backend protocol 3.0 for test clients and stub endpoints, from its public
/// description.
#include "protocol.h"

#include <cstdlib>
#include <glib.h>

namespace test_harness {
namespace {

std::int64_t now_ms() {
  return g_get_real_time() / 1000;
}

std::string encode_big_endian(std::uint32_t value) {
  return {static_cast<char>(value >> 24), static_cast<char>(value >> 16),
          static_cast<char>(value >> 8), static_cast<char>(value)};
}

std::uint32_t decode_big_endian(const std::string& input, std::size_t at) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < 4; ++i)
    value = value << 8 | static_cast<unsigned char>(input[at + i]);
  return value;
}

std::string pg_message(char type, const std::string& body) {
  return type + encode_big_endian(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

std::string pg_row(const std::string& value) {
  const std::string column = std::string("data\0", 5) + encode_big_endian(0) +
                             std::string(2, '\0') + encode_big_endian(17) + std::string(2, '\xff') +
                             encode_big_endian(0xffffffff) + std::string("\0\1", 2);
  return pg_message('T', std::string("\0\1", 2) + column) +
         pg_message('D', std::string("\0\1", 2) +
                             encode_big_endian(static_cast<std::uint32_t>(value.size())) + value) +
         pg_message('C', std::string("SELECT 1\0", 9));
}

std::string pg_error(const std::string& code) {
  const std::string z(1, '\0');
  return pg_message('E', "SERROR" + z + "C" + code + z + "Mscripted" + z + z) +
         pg_message('Z', "I");
}

std::string between(const std::string& text, const std::string& from, const std::string& ends) {
  const std::size_t at = text.find(from);
  if (at == std::string::npos)
    return "";
  const std::size_t begin = at + from.size();
  return text.substr(begin, text.find_first_of(ends, begin) - begin);
}

class PostgresProtocol : public Protocol {
public:
  [[nodiscard]] const char* name() const override { return "postgres"; }

  [[nodiscard]] std::string client_handshake() const override {
    const std::string body =
        encode_big_endian(196608) + std::string("user\0portal\0database\0crm\0\0", 26);
    return encode_big_endian(static_cast<std::uint32_t>(body.size() + 4)) + body;
  }

  [[nodiscard]] std::string encode_request(const Request& request) const override {
    const std::string annotations = " /* id=" + request.id + ",c=" + request.service_class +
                                    ",d=" + std::to_string(request.timeout_ms) +
                                    (request.is_write ? ",k=" + request.idempotency_key : "") +
                                    ",cluster=0 */";
    if (!request.statement.empty())
      return pg_message('Q', request.statement + annotations + '\0');
    return pg_message('Q',
                      (request.is_write
                           ? "INSERT INTO facts (code, data) VALUES ('7f', '\\x9f') RETURNING data"
                           : "SELECT data FROM facts WHERE code = '7f'") +
                          annotations + '\0');
  }

  std::optional<ClientResult> decode_response(std::string& input,
                                              std::string& value) const override {
    std::optional<ClientResult> result;
    bool is_handshake = false;
    for (std::size_t at = 0; input.size() >= at + 5;) {
      const std::size_t size = 1 + decode_big_endian(input, at + 1);
      if (input.size() < at + size)
        break;
      const char type = input[at];
      const std::string body = input.substr(at + 5, size - 5);
      at += size;
      if (type == 'R')
        is_handshake = true;
      if (type == 'C')
        result = ClientResult::Served;
      if (type == 'D')
        value = body.substr(6);
      if (type == 'E')
        result = body.find(std::string("C53300\0", 7)) != std::string::npos ? ClientResult::Rejected
                                                                            : ClientResult::Failed;
      const bool fatal = type == 'E' && body.compare(0, 6, "SFATAL") == 0;
      if (type != 'Z' && !fatal)
        continue;
      input.erase(0, at);
      at = 0;
      if (!is_handshake || result)
        return result;
      is_handshake = false;
    }
    return std::nullopt;
  }

  bool decode_endpoint_message(std::string& input, const ReplicationStatus& replication,
                               std::optional<Request>& request, std::string& reply) const override {
    if (input.size() < 5)
      return false;
    if (input[0] == '\0') {  // a startup message has no type
      if (input.size() < decode_big_endian(input, 0))
        return false;
      input.erase(0, decode_big_endian(input, 0));
      reply = pg_message('R', encode_big_endian(0)) + pg_message('Z', "I");
      return true;
    }
    const std::size_t size = 1 + decode_big_endian(input, 1);
    if (input.size() < size)
      return false;
    const std::string text = input.substr(5, size - 6);
    input.erase(0, size);
    if (text == "SHOW gauges") {
      const std::string seconds =
          std::to_string(static_cast<double>(now_ms() - replication.lag_ms) / 1000);
      reply = pg_row("x0=" + seconds + ",x1=" + (replication.is_primary ? "1" : "0")) +
              pg_message('Z', "I");
      return true;
    }
    request = Request{between(text, "id=", ", "), between(text, ",c=", ", "),
                      between(text, ",k=", ", "), 0, text.compare(0, 6, "INSERT") == 0};
    request->timeout_ms = std::atoi(between(text, ",d=", ", ").c_str());
    return true;
  }

  [[nodiscard]] std::string encode_response(ScriptedResponse response,
                                            const ReplicationStatus& replication,
                                            const std::string& value) const override {
    const std::string status =
        pg_message('S', std::string("part\0", 5) + (replication.is_primary ? "master" : "replica") +
                            '\0') +
        pg_message('S', std::string("caught_up_to\0", 13) +
                            std::to_string(now_ms() - replication.lag_ms) + '\0');
    switch (response) {
    case ScriptedResponse::RejectNotPrimary:
      return status + pg_error("25006");
    case ScriptedResponse::Fail:
      return pg_error("XX000");
    case ScriptedResponse::RejectOverloaded:
      return pg_error("53300");
    case ScriptedResponse::Garbage:
      return "no protocol at all, and more of it than a head";
    case ScriptedResponse::Truncated:
      return pg_row(value).substr(0, 60);
    case ScriptedResponse::OversizedLength:
      return pg_row(value).substr(0, 31) + "D\xc0" + std::string(3, '\0') + "and so on";
    case ScriptedResponse::UnboundedResponse: {
      std::string all = pg_row(value);
      while (all.size() < 400'000)
        all += pg_message('S', std::string("part\0and so on\0", 15));
      return all;
    }
    case ScriptedResponse::Duplicate:
      return pg_row(value) + status + pg_message('Z', "I") + pg_row("a copy") +
             pg_message('Z', "I");
    case ScriptedResponse::MalformedReport:
      return pg_row(value) + status +
             pg_message('S', std::string("gauges\0x0=nonsense,x1=7q\0\0", 26)) +
             pg_message('S', std::string("caught_up_to\0"
                                         "99999999999999\0",
                                         28)) +
             pg_message('S', "no end") + pg_message('Z', "I");
    default:
      return pg_row(value) + status + pg_message('Z', "I");
    }
  }

  [[nodiscard]] std::string encode_unsolicited_message() const override {
    const std::string z(1, '\0');
    return pg_message('N', "SNOTICE" + z + "C00000" + z + "Mscripted" + z + z);
  }
};

}  // namespace

const Protocol& postgres() {
  static const PostgresProtocol kProtocol;
  return kProtocol;
}

}  // namespace test_harness

#include "upstream_protocol.h"

#include "codec.h"
#include "response_matcher.h"
#include "response_parser.h"

#include "wire/integers.h"
#include "wire/parts.h"

#include <string>

namespace gorsebeam::postgres {
namespace {

using connection_pool::HandshakeResult;
using connection_pool::InputState;
using connection_pool::ParsedResponse;
using connection_pool::RequestKind;
using wire::FramingError;
using wire::FramingResult;

constexpr std::size_t kLengthSize = 4;

bool is_authentication_ok(std::string_view body) {
  return body.size() >= sizeof(std::uint32_t) && wire::read_u32_big_endian(body.data()) == 0;
}

class PostgresUpstreamProtocol : public connection_pool::UpstreamProtocol {
public:
  std::string handshake_message() override {
    std::string startup = wire::encode_u32_big_endian(kProtocolVersion3);
    for (const char* word : {"user", "gorsebeam", "database", "crm"})
      startup.append(word).push_back('\0');
    startup.push_back('\0');
    const std::size_t length = kLengthSize + startup.size();
    return wire::encode_u32_big_endian(static_cast<std::uint32_t>(length)) + startup;
  }

  HandshakeResult parse_handshake(std::string_view in) override {
    using Status = HandshakeResult::Status;
    std::size_t offset = 0;
    while (true) {
      const FramingResult<Message> framed =
          read_expected_message(in.substr(offset), kHandshakeMessageTypes);
      if (!framed)
        return {framed.error() == FramingError::Incomplete ? Status::Incomplete : Status::Failed};
      const Message& message = framed.value();
      offset += message.encoded.size();
      if (message.type == 'Z')
        return {Status::Complete, offset};
      if (message.type == 'E') {
        const bool is_rejected = error_field(message.body, 'C') == kTooManyConnections;
        return {is_rejected ? Status::Rejected : Status::Failed};
      }
      if (message.type == 'R' && !is_authentication_ok(message.body))
        return {Status::Failed};
    }
  }

  proxy::ByteSpans frame_request(const proxy::ByteSpans& body) override {
    // The length field also counts the zero byte that ends the text.
    const std::size_t length = kLengthSize + wire::total_size(body) + 1;
    header_ = 'Q' + wire::encode_u32_big_endian(static_cast<std::uint32_t>(length));
    proxy::ByteSpans parts{header_};
    parts.insert(parts.end(), body.begin(), body.end());
    parts.emplace_back("\0", 1);
    return parts;
  }

  proxy::ByteSpans health_check_message() override {
    header_ = encode_message('Q', std::string_view("SHOW gauges\0", 12));
    return {header_};
  }

  proxy::ByteSpans confirmation_message() override {
    header_ = encode_message('Q', std::string_view("\0", 1));
    return {header_};
  }

  ParsedResponse parse_response(std::string_view in, RequestKind kind, InputState input) override {
    return matcher_.parse(in, kind, input);
  }

private:
  ResponseMatcher matcher_;
  std::string header_;  ///< The parts of the last message that was sent point into it.
};

}  // namespace

std::unique_ptr<connection_pool::UpstreamProtocol> make_upstream_protocol() {
  return std::make_unique<PostgresUpstreamProtocol>();
}

}  // namespace gorsebeam::postgres

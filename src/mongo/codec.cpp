#include "codec.h"

namespace gorsebeam::mongo {
namespace {

using wire::Framing;

constexpr std::uint32_t kRequiredFlags = 0xffffU;  // a receiver must know each of them
constexpr std::uint32_t kAwaitCapable = 8;         // a flag of OP_REPLY
constexpr std::size_t kFlagsSize = 4;
constexpr std::size_t kChecksumSize = 4;
constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kSkipAndReturnSize = 8;  // numberToSkip and numberToReturn
constexpr std::size_t kReplyHeadSize = 20;
constexpr char kBodySection = 0;
constexpr char kDocumentSequenceSection = 1;

/// Whether the content of a section of kind 1 is a name and complete documents.
bool is_document_sequence(std::string_view content) {
  const std::size_t name_end = content.find('\0');
  if (name_end == std::string_view::npos)
    return false;
  content.remove_prefix(name_end + 1);
  while (!content.empty()) {
    const std::size_t size = content.size() < kMinDocumentSize ? 0 : read_u32(content.data());
    if (size < kMinDocumentSize || size > content.size() ||
        !is_well_formed(content.substr(0, size)))
      return false;
    content.remove_prefix(size);
  }
  return true;
}

/// Reads the section at `offset` of `message.sections`; returns its size, with its kind, or nothing
/// where it is malformed.
std::optional<std::size_t> read_section(std::size_t offset, OpMsg& message) {
  const char kind = message.sections[offset];
  const std::string_view rest = message.sections.substr(offset + 1);
  if (rest.size() < kMinDocumentSize)
    return std::nullopt;
  const std::size_t size = read_u32(rest.data());
  if (size < kMinDocumentSize || size > rest.size())
    return std::nullopt;
  if (kind == kDocumentSequenceSection) {
    if (!is_document_sequence(rest.substr(kLengthSize, size - kLengthSize)))
      return std::nullopt;
    return 1 + size;
  }
  if (kind != kBodySection || message.body.data() != nullptr)
    return std::nullopt;
  message.body = rest.substr(0, size);
  message.before = message.sections.substr(0, offset);
  message.after = message.sections.substr(offset + 1 + size);
  return 1 + size;
}

}  // namespace

Framing read_message(std::string_view in, std::size_t max_size, Message& message) {
  if (in.size() < kHeaderSize)
    return Framing::Incomplete;
  message.size = read_u32(in.data());
  message.request_id = read_u32(in.data() + 4);
  message.response_to = read_u32(in.data() + 8);
  message.operation = read_u32(in.data() + 12);
  if (message.size < kHeaderSize || message.size > max_size)
    return Framing::Malformed;
  if (in.size() < message.size)
    return Framing::Incomplete;
  message.payload = in.substr(kHeaderSize, message.size - kHeaderSize);
  return Framing::Complete;
}

std::optional<OpMsg> read_op_msg(std::string_view payload) {
  OpMsg message;
  if (payload.size() < kFlagsSize)
    return std::nullopt;
  message.flags = read_u32(payload.data());
  if ((message.flags & kRequiredFlags & ~(kChecksumPresent | kMoreToCome)) != 0)
    return std::nullopt;
  payload.remove_prefix(kFlagsSize);
  if ((message.flags & kChecksumPresent) != 0) {
    if (payload.size() < kChecksumSize)
      return std::nullopt;
    payload.remove_suffix(kChecksumSize);
  }
  message.sections = payload;
  std::size_t offset = 0;
  while (offset < payload.size()) {
    const std::optional<std::size_t> size = read_section(offset, message);
    if (!size)
      return std::nullopt;
    offset += *size;
  }
  if (message.body.data() == nullptr || !is_well_formed(message.body))
    return std::nullopt;
  return message;
}

std::optional<std::string_view> read_op_query(std::string_view payload) {
  if (payload.size() < kFlagsSize)
    return std::nullopt;
  payload.remove_prefix(kFlagsSize);
  const std::size_t name_end = payload.find('\0');
  if (name_end == std::string_view::npos)
    return std::nullopt;
  const std::size_t head_size = name_end + 1 + kSkipAndReturnSize;
  if (payload.size() < head_size + kMinDocumentSize)
    return std::nullopt;
  payload.remove_prefix(head_size);
  const std::size_t size = read_u32(payload.data());
  if (size < kMinDocumentSize || size > payload.size() || !is_well_formed(payload.substr(0, size)))
    return std::nullopt;
  return payload.substr(0, size);
}

std::string encode_header(std::size_t payload_size, std::uint32_t request_id,
                          std::uint32_t response_to, std::uint32_t operation) {
  return encode_u32(static_cast<std::uint32_t>(kHeaderSize + payload_size)) +
         encode_u32(request_id) + encode_u32(response_to) + encode_u32(operation);
}

std::string encode_op_msg(const std::string& document, std::uint32_t request_id,
                          std::uint32_t response_to) {
  return encode_header(kFlagsSize + 1 + document.size(), request_id, response_to, kOpMsg) +
         encode_u32(0) + kBodySection + document;
}

std::string encode_op_reply(const std::string& document, std::uint32_t request_id,
                            std::uint32_t response_to) {
  // Flags, a cursor of 64 bits, where it starts, and the number of documents.
  return encode_header(kReplyHeadSize + document.size(), request_id, response_to, kOpReply) +
         encode_u32(kAwaitCapable) + encode_u32(0) + encode_u32(0) + encode_u32(0) + encode_u32(1) +
         document;
}

}  // namespace gorsebeam::mongo

#include "codec.h"

namespace gorsebeam::mongo {
namespace {

using wire::FramingError;

// The flags of OP_MSG in these bits are required: a receiver rejects a message that sets one it
// does not know.
constexpr std::uint32_t kRequiredFlagsMask = 0xffffU;
constexpr std::uint32_t kKnownFlags = kChecksumPresent | kMoreToCome;
constexpr std::uint32_t kAwaitCapable = 8;  // a flag of OP_REPLY
constexpr std::size_t kFlagsSize = 4;
constexpr std::size_t kChecksumSize = 4;
constexpr std::size_t kLengthSize = 4;
constexpr std::size_t kSkipAndReturnSize = 8;  // numberToSkip and numberToReturn
constexpr std::size_t kReplyFieldsSize = 20;   // the fields of OP_REPLY that precede its documents
constexpr char kBodySection = 0;
constexpr char kDocumentSequenceSection = 1;

/// Whether `size`, the length field of the document at the front of `in`, is large enough for a
/// document and does not exceed the size of `in`.
bool is_valid_document_size(std::string_view in, std::size_t size) {
  return size >= kMinDocumentSize && size <= in.size();
}

/// Returns the document at the front of `in`, or nothing if it is incomplete or malformed.
std::optional<std::string_view> read_document(std::string_view in) {
  if (in.size() < kMinDocumentSize)
    return std::nullopt;
  const std::size_t size = read_u32(in.data());
  if (!is_valid_document_size(in, size) || !is_well_formed(in.substr(0, size)))
    return std::nullopt;
  return in.substr(0, size);
}

/// Whether `content`, that of a section of kind 1 after its length field, is a name followed by
/// well-formed documents.
bool is_document_sequence(std::string_view content) {
  const std::size_t name_end = content.find('\0');
  if (name_end == std::string_view::npos)
    return false;
  content.remove_prefix(name_end + 1);
  while (!content.empty()) {
    const std::optional<std::string_view> document = read_document(content);
    if (!document)
      return false;
    content.remove_prefix(document->size());
  }
  return true;
}

/// One section of an OP_MSG.
struct Section {
  char kind = kBodySection;
  /// For kind 0 a document; for kind 1 the length field, name and documents of a sequence.
  std::string_view content;
};

/// Reads the section at the front of `sections`, or returns nothing if it is malformed.
std::optional<Section> read_section(std::string_view sections) {
  const std::string_view rest = sections.substr(1);
  if (rest.size() < kMinDocumentSize)
    return std::nullopt;
  const std::size_t size = read_u32(rest.data());
  if (!is_valid_document_size(rest, size))
    return std::nullopt;
  const Section section{sections.front(), rest.substr(0, size)};
  const bool is_well_formed_section =
      section.kind == kDocumentSequenceSection
          ? is_document_sequence(section.content.substr(kLengthSize))
          : section.kind == kBodySection && is_well_formed(section.content);
  return is_well_formed_section ? std::optional(section) : std::nullopt;
}

/// Reads all sections of a message. Returns nothing if one of them is malformed, or if the message
/// does not have exactly one section of kind 0.
std::optional<OpMsg> read_sections(std::string_view sections) {
  OpMsg message;
  message.sections = sections;
  std::size_t offset = 0;
  while (offset < sections.size()) {
    const std::optional<Section> section = read_section(sections.substr(offset));
    if (!section)
      return std::nullopt;
    const std::size_t end = offset + 1 + section->content.size();
    if (section->kind == kBodySection) {
      if (!message.body.empty())
        return std::nullopt;
      message.body = section->content;
      message.sections_before = sections.substr(0, offset);
      message.sections_after = sections.substr(end);
    }
    offset = end;
  }
  if (message.body.empty())
    return std::nullopt;
  return message;
}

}  // namespace

wire::FramingResult<Message> read_message(std::string_view in, std::size_t max_size) {
  if (in.size() < kHeaderSize)
    return FramingError::Incomplete;
  Message message;
  message.size = read_u32(in.data());
  message.request_id = read_u32(in.data() + 4);
  message.response_to = read_u32(in.data() + 8);
  message.opcode = static_cast<Opcode>(read_u32(in.data() + 12));
  if (message.size < kHeaderSize || message.size > max_size)
    return FramingError::Malformed;
  if (in.size() < message.size)
    return FramingError::Incomplete;
  message.payload = in.substr(kHeaderSize, message.size - kHeaderSize);
  return message;
}

std::optional<OpMsg> read_op_msg(std::string_view payload) {
  if (payload.size() < kFlagsSize)
    return std::nullopt;
  const std::uint32_t flags = read_u32(payload.data());
  if ((flags & kRequiredFlagsMask & ~kKnownFlags) != 0)
    return std::nullopt;
  payload.remove_prefix(kFlagsSize);
  if ((flags & kChecksumPresent) != 0) {
    if (payload.size() < kChecksumSize)
      return std::nullopt;
    payload.remove_suffix(kChecksumSize);
  }
  std::optional<OpMsg> message = read_sections(payload);
  if (message)
    message->flags = flags;
  return message;
}

std::optional<std::string_view> read_op_query(std::string_view payload) {
  if (payload.size() < kFlagsSize)
    return std::nullopt;
  payload.remove_prefix(kFlagsSize);
  const std::size_t collection_end = payload.find('\0');
  if (collection_end == std::string_view::npos)
    return std::nullopt;
  const std::size_t document_offset = collection_end + 1 + kSkipAndReturnSize;
  if (payload.size() < document_offset)
    return std::nullopt;
  return read_document(payload.substr(document_offset));
}

std::string encode_header(std::size_t payload_size, std::uint32_t request_id,
                          std::uint32_t response_to, Opcode opcode) {
  return encode_u32(static_cast<std::uint32_t>(kHeaderSize + payload_size)) +
         encode_u32(request_id) + encode_u32(response_to) +
         encode_u32(static_cast<std::uint32_t>(opcode));
}

std::string encode_op_msg(const std::string& document, std::uint32_t request_id,
                          std::uint32_t response_to) {
  const std::size_t payload_size = kFlagsSize + 1 + document.size();
  return encode_header(payload_size, request_id, response_to, Opcode::Msg) + encode_u32(0) +
         kBodySection + document;
}

std::string encode_op_reply(const std::string& document, std::uint32_t request_id,
                            std::uint32_t response_to) {
  const std::string cursor_id(8, '\0');
  const std::string starting_from = encode_u32(0);
  const std::string document_count = encode_u32(1);
  return encode_header(kReplyFieldsSize + document.size(), request_id, response_to, Opcode::Reply) +
         encode_u32(kAwaitCapable) + cursor_id + starting_from + document_count + document;
}

}  // namespace gorsebeam::mongo

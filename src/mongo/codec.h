/// Reads messages of the MongoDB wire protocol without copying them, and encodes new ones: OP_MSG,
/// and those parts of OP_QUERY and OP_REPLY that drivers use for their first hello. Does no I/O and
/// reads no clock.
/// Source: MongoDB wire protocol specification, sections "Standard Message Header", "OP_MSG",
/// "OP_QUERY" and "OP_REPLY".
#pragma once

#include "bson.h"

#include "wire/framing.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::mongo {

/// The type of a message. A received value can be one that is not listed here.
enum class Opcode : std::uint32_t {
  Reply = 1,
  Query = 2004,
  Msg = 2013,
};

constexpr std::size_t kHeaderSize = 16;

/// One message with any opcode.
struct Message {
  std::uint32_t request_id = 0;
  std::uint32_t response_to = 0;
  Opcode opcode = Opcode::Msg;
  std::string_view payload;  ///< What follows the header; points into the bytes that were read.
  std::size_t size = 0;      ///< The size in bytes, including the header.
};

/// Reads the message at the beginning of `in`. A message with more than `max_size` bytes, including
/// its header, is malformed.
wire::FramingResult<Message> read_message(std::string_view in, std::size_t max_size);

/// Flags of OP_MSG.
constexpr std::uint32_t kChecksumPresent = 1;
constexpr std::uint32_t kMoreToCome = 2;

/// The parsed payload of an OP_MSG. The views point into the payload.
struct OpMsg {
  std::uint32_t flags = 0;
  std::string_view body;  ///< The document of the only section of kind 0: a command or a reply.
  std::string_view sections_before;  ///< The sections of kind 1 before the section of kind 0.
  std::string_view sections_after;   ///< The sections of kind 1 after the section of kind 0.
  std::string_view sections;         ///< All sections, without the flags and the checksum.
};

/// Reads the payload of an OP_MSG, or returns nothing if it is malformed.
std::optional<OpMsg> read_op_msg(std::string_view payload);

/// Reads the query document from the payload of an OP_QUERY, or returns nothing if it is malformed.
std::optional<std::string_view> read_op_query(std::string_view payload);

std::string encode_header(std::size_t payload_size, std::uint32_t request_id,
                          std::uint32_t response_to, Opcode opcode);
std::string encode_op_msg(const std::string& document, std::uint32_t request_id,
                          std::uint32_t response_to);
std::string encode_op_reply(const std::string& document, std::uint32_t request_id,
                            std::uint32_t response_to);

}  // namespace gorsebeam::mongo

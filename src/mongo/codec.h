/// Messages of the MongoDB wire protocol, read in place: OP_MSG, and OP_QUERY as far as drivers use
/// it for their first hello. Pure.
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

/// The kind of a message. A received value need not be one of these.
enum class Opcode : std::uint32_t {
  Reply = 1,
  Query = 2004,
  Msg = 2013,
};

constexpr std::size_t kHeaderSize = 16;

/// A message of any kind.
struct Message {
  std::uint32_t request_id = 0;
  std::uint32_t response_to = 0;
  Opcode opcode = Opcode::Msg;
  std::string_view payload;  ///< Without the header; borrows from the bytes that were read.
  std::size_t size = 0;      ///< With the header.
};

/// Reads the first message of `in`, which may be at most `max_size` bytes long with its header.
wire::FramingResult<Message> read_message(std::string_view in, std::size_t max_size);

/// Flags of OP_MSG.
constexpr std::uint32_t kChecksumPresent = 1;
constexpr std::uint32_t kMoreToCome = 2;

/// The payload of an OP_MSG. The views borrow from it.
struct OpMsg {
  std::uint32_t flags = 0;
  std::string_view body;             ///< The document of the one section of kind 0: the command.
  std::string_view sections_before;  ///< The sections of kind 1 before the body's section.
  std::string_view sections_after;   ///< The sections of kind 1 after it.
  std::string_view sections;         ///< All sections, without the checksum.
};

/// Reads the payload of an OP_MSG; nothing if it is malformed.
std::optional<OpMsg> read_op_msg(std::string_view payload);

/// Reads the query document from the payload of an OP_QUERY; nothing if it is malformed.
std::optional<std::string_view> read_op_query(std::string_view payload);

std::string encode_header(std::size_t payload_size, std::uint32_t request_id,
                          std::uint32_t response_to, Opcode opcode);
std::string encode_op_msg(const std::string& document, std::uint32_t request_id,
                          std::uint32_t response_to);
std::string encode_op_reply(const std::string& document, std::uint32_t request_id,
                            std::uint32_t response_to);

}  // namespace gorsebeam::mongo

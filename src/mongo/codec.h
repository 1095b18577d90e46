/// Messages of the MongoDB wire protocol, read in place: OP_MSG, and OP_QUERY as far as drivers use
/// it for their greeting. Pure; no sockets here.
/// Source: MongoDB wire protocol specification, sections "Standard Message Header", "OP_MSG",
/// "OP_QUERY" and "OP_REPLY"; error codes from the server's public list of error codes.
#pragma once

#include "bson.h"

#include "wire/framing.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gorsebeam::mongo {

constexpr std::uint32_t kOpReply = 1;
constexpr std::uint32_t kOpQuery = 2004;
constexpr std::uint32_t kOpMsg = 2013;
constexpr std::size_t kHeaderSize = 16;

/// Error codes that the gateway sends or interprets.
constexpr std::int32_t kFailedToParse = 9;
constexpr std::int32_t kUnauthorized = 13;
constexpr std::int32_t kInvalidBson = 22;
constexpr std::int32_t kCommandNotFound = 59;
constexpr std::int32_t kNetworkTimeout = 89;
constexpr std::int32_t kNotSupported = 115;
constexpr std::int32_t kSnapshotUnavailable = 246;
constexpr std::int32_t kUnsupportedOpQuery = 352;
constexpr std::int32_t kRateLimitExceeded = 462;
constexpr std::int32_t kNotWritablePrimary = 10107;
constexpr std::int32_t kNotPrimaryNoSecondaryOk = 13435;
constexpr std::int32_t kNotPrimaryOrSecondary = 13436;

/// A message of any kind; `payload` leads into the bytes that it was read from.
struct Message {
  std::uint32_t request_id = 0;
  std::uint32_t response_to = 0;
  std::uint32_t operation = 0;
  std::string_view payload;  ///< Behind the header.
  std::size_t size = 0;      ///< With the header.
};

/// Reads the first message of `in`, which may be at most `max_size` bytes long.
wire::Framing read_message(std::string_view in, std::size_t max_size, Message& message);

/// Flags of OP_MSG.
constexpr std::uint32_t kChecksumPresent = 1;
constexpr std::uint32_t kMoreToCome = 2;

struct OpMsg {
  std::uint32_t flags = 0;
  std::string_view body;      ///< The one section of kind 0, which is the command.
  std::string_view before;    ///< The sections of kind 1 before it.
  std::string_view after;     ///< The sections of kind 1 behind it.
  std::string_view sections;  ///< All sections, without the checksum.
};

/// Reads an OP_MSG; nothing where it is malformed.
std::optional<OpMsg> read_op_msg(std::string_view payload);

/// Reads the query document of an OP_QUERY; nothing where it is malformed.
std::optional<std::string_view> read_op_query(std::string_view payload);

std::string encode_header(std::size_t payload_size, std::uint32_t request_id,
                          std::uint32_t response_to, std::uint32_t operation);
std::string encode_op_msg(const std::string& document, std::uint32_t request_id,
                          std::uint32_t response_to);
std::string encode_op_reply(const std::string& document, std::uint32_t request_id,
                            std::uint32_t response_to);

}  // namespace gorsebeam::mongo

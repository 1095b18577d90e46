// The MongoDB wire protocol: OP_MSG, and OP_QUERY as far as drivers open with it. Read in place; no
// sockets here.
#pragma once

#include "bson.h"

#include <string>
#include <string_view>

namespace gorsebeam::mongo {

constexpr std::uint32_t kOpReply = 1;
constexpr std::uint32_t kOpQuery = 2004;
constexpr std::uint32_t kOpMsg = 2013;
constexpr std::size_t kHeaderSize = 16;

// Codes of the public error list.
constexpr std::int32_t kInvalidBson = 22, kUnauthorized = 13, kFailedToParse = 9,
                       kCommandNotFound = 59;
constexpr std::int32_t kNetworkTimeout = 89, kNotSupported = 115, kSnapshotUnavailable = 246;
constexpr std::int32_t kUnsupportedOpQuery = 352, kRateLimitExceeded = 462;
constexpr std::int32_t kNotWritablePrimary = 10107, kNotPrimaryNoSecondaryOk = 13435,
                       kNotPrimaryOrSecondary = 13436;

enum class Framing { More, Whole, Malformed };

struct Message {
  std::uint32_t id = 0, answers = 0, operation = 0;
  std::string_view payload;  // behind the header
  std::size_t size = 0;      // with it
};

Framing read_message(std::string_view in, std::size_t most, Message& message);

struct OpMsg {
  std::uint32_t flags = 0;
  std::string_view body;           // the one section of kind 0
  std::string_view before, after;  // the sections of kind 1, about it
  std::string_view sections;       // all of them, without the checksum
};

constexpr std::uint32_t kChecksum = 1, kMoreToCome = 2;
bool read_op_msg(std::string_view payload, OpMsg& msg);                // false: malformed
bool read_op_query(std::string_view payload, std::string_view& body);  // its query document

std::string header(std::size_t payload_size, std::uint32_t id, std::uint32_t answers,
                   std::uint32_t operation);
std::string op_msg(const std::string& document, std::uint32_t id, std::uint32_t answers);
std::string op_reply(const std::string& document, std::uint32_t id, std::uint32_t answers);

}  // namespace gorsebeam::mongo

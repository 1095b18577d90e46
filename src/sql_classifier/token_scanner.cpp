#include "token_scanner.h"

#include <glib.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>
#include <pg_query.h>

#include <cstdint>

namespace gorsebeam::sql_classifier {
namespace {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;

// The fields of libpg_query's messages ScanResult and ScanToken (pg_query.proto).
constexpr int kTokensField = 2;
constexpr int kStartField = 1;
constexpr int kEndField = 2;

/// Scans a statement and owns the result.
class ScanResult {
public:
  explicit ScanResult(const std::string& statement) : result_(pg_query_scan(statement.c_str())) {}

  ScanResult(const ScanResult&) = delete;
  ScanResult& operator=(const ScanResult&) = delete;

  ~ScanResult() { pg_query_free_scan_result(result_); }

  [[nodiscard]] bool has_error() const { return result_.error != nullptr; }

  /// The message ScanResult, encoded.
  [[nodiscard]] std::string_view encoded() const { return {result_.pbuf.data, result_.pbuf.len}; }

private:
  PgQueryScanResult result_;
};

CodedInputStream make_input(std::string_view encoded) {
  return CodedInputStream(reinterpret_cast<const std::uint8_t*>(encoded.data()),
                          static_cast<int>(encoded.size()));
}

/// Returns the part of `statement` that the message ScanToken in `encoded` names.
std::optional<std::string_view> read_token(std::string_view encoded, std::string_view statement) {
  CodedInputStream input = make_input(encoded);
  std::uint32_t start = 0;
  std::uint32_t end = 0;
  while (const std::uint32_t tag = input.ReadTag()) {
    const int field = WireFormatLite::GetTagFieldNumber(tag);
    const bool is_read = field == kStartField ? input.ReadVarint32(&start)
                         : field == kEndField ? input.ReadVarint32(&end)
                                              : WireFormatLite::SkipField(&input, tag);
    if (!is_read)
      return std::nullopt;
  }
  if (start > end || end > statement.size())
    return std::nullopt;
  return statement.substr(start, end - start);
}

bool is_comment(std::string_view token) {
  const std::string_view begin = token.substr(0, 2);
  return begin == "--" || begin == "/*";
}

bool is_digit(char c) {
  return g_ascii_isdigit(c) != 0;
}

bool is_letter(char c) {
  return g_ascii_isalpha(c) != 0 || c == '_' || static_cast<unsigned char>(c) >= 0x80;
}

}  // namespace

// Letters and digits form at most two tokens, a number and a word, unless another character is
// between them.
std::size_t token_count_bound(std::string_view text) {
  std::size_t count = 0;
  bool is_in_word = false;
  bool is_in_number = false;
  for (const char c : text) {
    const bool continues = is_in_word ? is_letter(c) || is_digit(c) : is_in_number && is_digit(c);
    if (continues)
      continue;
    is_in_word = is_letter(c);
    is_in_number = is_digit(c);
    count += g_ascii_isspace(c) != 0 ? 0 : 1;
  }
  return count;
}

std::optional<std::vector<std::string_view>> scan_tokens(const std::string& statement) {
  const ScanResult result(statement);
  if (result.has_error())
    return std::nullopt;
  std::vector<std::string_view> tokens;
  CodedInputStream input = make_input(result.encoded());
  while (const std::uint32_t tag = input.ReadTag()) {
    if (WireFormatLite::GetTagFieldNumber(tag) != kTokensField) {
      if (!WireFormatLite::SkipField(&input, tag))
        return std::nullopt;
      continue;
    }
    std::string encoded;
    if (!WireFormatLite::ReadBytes(&input, &encoded))
      return std::nullopt;
    const std::optional<std::string_view> token = read_token(encoded, statement);
    if (!token)
      return std::nullopt;
    if (!is_comment(*token))
      tokens.push_back(*token);
  }
  return tokens;
}

}  // namespace gorsebeam::sql_classifier

#include "mongo/command_rewriter.h"

#include <gtest/gtest.h>

namespace gorsebeam::mongo {
namespace {

using namespace std::string_literals;

std::string join(const proxy::ByteSpans& parts) {
  std::string joined;
  for (const std::string_view part : parts)
    joined += part;
  return joined;
}

std::string body_section(const Writer& command) {
  return '\0' + command.finish();
}

std::string sequence_section(const std::string& name) {
  const std::string content = name + '\0' + Writer().append_int32("x", 1).finish();
  return '\1' + encode_u32(static_cast<std::uint32_t>(content.size() + 4)) + content;
}

TEST(MongoCommandRewriter, ReplacesDeadlineAndReadPreferenceOfARead) {
  const std::string preference = Writer().append_string("mode", "primary").finish();
  const std::string replaced = Writer().append_string("mode", "primaryPreferred").finish();
  const std::string payload =
      encode_u32(0) + body_section(Writer()
                                       .append_string("find", "facts")
                                       .append_int32("maxTimeMS", 1500)
                                       .append_string("$db", "crm")
                                       .append_document("$readPreference", preference)
                                       .append_string("comment", "c"));
  CommandRewriter rewriter;
  const std::string rewritten =
      join(rewriter.rewrite(*read_op_msg(payload), CommandKind::Read, 123ms + 456ns));
  EXPECT_EQ(rewritten,
            encode_u32(0) + body_section(Writer()
                                             .append_string("find", "facts")
                                             .append_string("$db", "crm")
                                             .append_string("comment", "c")
                                             .append_int64("maxTimeMS", 123)
                                             .append_document("$readPreference", replaced)));
}

TEST(MongoCommandRewriter, KeepsSectionsAndReadPreferenceOfAWriteAndRemovesChecksum) {
  const std::string preference = Writer().append_string("mode", "primary").finish();
  Writer command;
  command.append_string("insert", "facts").append_document("$readPreference", preference);
  const std::string payload = encode_u32(kChecksumPresent) + sequence_section("documents") +
                              body_section(command) + sequence_section("more") + "CRCC";
  CommandRewriter rewriter;
  const auto parts = rewriter.rewrite(*read_op_msg(payload), CommandKind::Write, 5ns);
  EXPECT_EQ(join(parts), encode_u32(0) + sequence_section("documents") +
                             body_section(command.append_int64("maxTimeMS", 1)) +
                             sequence_section("more"))
      << "a deadline of less than 1 ms is sent as 1 ms";
}

}  // namespace
}  // namespace gorsebeam::mongo

#include "mongo/bson.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace gorsebeam::mongo {
namespace {

using namespace std::string_literals;

std::string document_of(const std::string& elements) {
  return encode_u32(static_cast<std::uint32_t>(elements.size() + kMinDocumentSize)) + elements +
         '\0';
}

TEST(BsonWriter, EncodesEachType) {
  // The writer does not check nested documents, and this one is malformed.
  const std::string nested = "\x06\0\0\0x\0"s;

  struct Case {
    Writer writer;
    std::string elements;
  };

  const std::vector<Case> cases = {
      {Writer().append_string("s", "xy"), "\2s\0\3\0\0\0xy\0"s},
      {Writer().append_document("n", nested), "\3n\0"s + nested},
      {Writer().append_array("n", nested), "\4n\0"s + nested},
      {Writer().append_bool("n", true), "\x08n\0\1"s},
      {Writer().append_bool("n", false), "\x08n\0\0"s},
      {Writer().append_int32("i", -2), "\x10i\0\xfe\xff\xff\xff"s},
      {Writer().append_int64("l", 258), "\x12l\0\2\1\0\0\0\0\0\0"s},
      {Writer().append_double("n", 1), "\1n\0\0\0\0\0\0\0\xf0\x3f"s},
      {Writer().append_date("t", 3), "\x09t\0\3\0\0\0\0\0\0\0"s},
      {Writer().append_timestamp("o", 5, 7), "\x11o\0\7\0\0\0\5\0\0\0"s},
  };

  for (const auto& each : cases) {
    EXPECT_EQ(each.writer.elements(), each.elements);
    EXPECT_EQ(each.writer.finish(), document_of(each.elements));
  }
}

TEST(BsonReader, ReturnsElementsInOrderAndThenNothing) {
  const std::string document = Writer().append_int32("one", 1).append_string("two", "2").finish();
  Reader reader(document);
  const auto one = reader.next();
  ASSERT_TRUE(one);
  EXPECT_EQ(one->name, "one");
  EXPECT_EQ(to_integer(*one), 1);
  EXPECT_EQ(one->encoded, Writer().append_int32("one", 1).elements());
  const auto two = reader.next();
  ASSERT_TRUE(two);
  EXPECT_EQ(two->value, "2");
  EXPECT_FALSE(reader.next());
  EXPECT_FALSE(reader.is_malformed());
}

TEST(BsonReader, RejectsMalformedDocuments) {
  const std::vector<std::string> malformed = {
      "",
      "\4\0\0\0"s,                              // shorter than an empty document
      "\6\0\0\0\0"s,                            // a length field beyond the last byte
      "\5\0\0\0\1"s,                            // no zero byte at the end
      document_of("\x10i"s),                    // no zero byte after an element's name
      document_of("\x10i\0\1\0\0"s),            // an int32 of three bytes
      document_of("\x02s\0\3\0\0\0xyz"s),       // a string without its zero byte
      document_of("\x02s\0\xff\xff\xff\x7f"s),  // a string's length beyond the document
      document_of("\x02s\0\0\0\0\0"s),          // a string's length that omits its zero byte
      document_of("\3n\0\4\0\0\0\0"s),          // a nested document shorter than an empty one
      document_of("\x20u\0"s),                  // an element of an unknown type
  };
  for (const std::string& document : malformed) {
    Reader reader(document);
    while (reader.next()) {
    }
    EXPECT_TRUE(reader.is_malformed()) << testing::PrintToString(document);
    EXPECT_FALSE(is_well_formed(document)) << testing::PrintToString(document);
  }
}

TEST(BsonReader, LimitsNestingDepth) {
  std::string document = Writer().finish();
  for (int level = 0; level < kMaxNestingDepth; ++level)
    document = Writer().append_document("d", document).finish();
  EXPECT_TRUE(is_well_formed(document));
  EXPECT_FALSE(is_well_formed(Writer().append_array("d", document).finish()));
}

TEST(BsonElement, ConvertsOnlyValuesOfMatchingTypes) {
  const std::string document = Writer()
                                   .append_double("whole", 20)
                                   .append_double("fraction", 20.5)
                                   .append_string("text", "20")
                                   .append_date("date", 1700000000123)
                                   .append_timestamp("time", 1700000000, 9)
                                   .finish();
  EXPECT_EQ(to_integer(*find(document, "whole")), 20);
  EXPECT_EQ(to_integer(*find(document, "fraction")), std::nullopt);
  EXPECT_EQ(to_integer(*find(document, "text")), std::nullopt);
  EXPECT_EQ(to_bool(*find(document, "whole")), true);
  EXPECT_EQ(to_bool(*find(document, "text")), std::nullopt);
  EXPECT_EQ(to_date(*find(document, "date")), 1700000000123);
  EXPECT_EQ(to_date(*find(document, "time")), std::nullopt);
  EXPECT_EQ(to_timestamp_seconds(*find(document, "time")), 1700000000);
  EXPECT_EQ(to_timestamp_seconds(*find(document, "date")), std::nullopt);
  EXPECT_FALSE(find(document, "absent"));
}

}  // namespace
}  // namespace gorsebeam::mongo

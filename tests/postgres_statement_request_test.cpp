// Tests how statements of PostgreSQL clients are parsed into requests and rewritten for endpoints.
#include "postgres/statement_request.h"
#include "postgres/statement_rewriter.h"

#include "frontend/session_hash.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace gorsebeam::postgres {
namespace {

class PostgresStatementRequest : public testing::Test {
protected:
  static std::vector<RequestClass> make_classes() {
    std::vector<RequestClass> classes(3);
    classes[0].consistency = ConsistencyLevel::Eventual;
    classes[1].consistency = ConsistencyLevel::Session;
    classes[2].consistency = ConsistencyLevel::Write;
    classes[2].idempotency = Idempotency::IdempotencyKey;
    return classes;
  }

  [[nodiscard]] common::Result<StatementRequest, SqlError>
  parse(const std::string& text, const sql_classifier::SqlClassifier* classifier = nullptr) const {
    return parse_request(text, {class_indexes_, classes_}, classifier);
  }

  const std::vector<RequestClass> classes_ = make_classes();
  const std::map<std::string, std::size_t> class_indexes_{{"any", 0}, {"session", 1}, {"save", 2}};
  const sql_classifier::SqlClassifier classifier_;
};

TEST_F(PostgresStatementRequest, ReadsRequestFields) {
  const auto parsed = parse("SELECT data FROM facts WHERE code = 'beef' "
                            "/* id=r1, c=session,d=1500,cluster=7,after=1700000000123,r=1 */");
  ASSERT_TRUE(parsed);
  const frontend::ParsedRequest& request = parsed.value().parsed;
  EXPECT_EQ(request.request.id, "r1");
  EXPECT_EQ(request.request.class_index, 1U);
  EXPECT_EQ(request.request.group, 7U);
  EXPECT_EQ(request.request.session, 0xbeefU);
  EXPECT_TRUE(request.request.is_client_retry);
  EXPECT_EQ(request.time_limit, 1500ms);
  EXPECT_FALSE(request.is_single_attempt);
  EXPECT_EQ(request.request.session_token, ReplicationPosition(1700000000123ms));
}

TEST_F(PostgresStatementRequest, ReadsNoSessionTokenWhereTheSessionHasWrittenNothing) {
  for (const std::string after : {"", ",after="}) {
    const auto parsed = parse("SELECT 'beef' /* id=a,c=session,d=5,cluster=0" + after + " */");
    ASSERT_TRUE(parsed) << after;
    EXPECT_FALSE(parsed.value().parsed.request.session_token) << after;
  }
}

TEST_F(PostgresStatementRequest, HashesSessionKeysThatAreNotHexadecimalNumbers) {
  for (const std::string key : {"not hexadecimal", "12345678901234567", ""}) {
    const auto parsed = parse("SELECT '" + key + "' /* id=a,c=session,d=5,cluster=0 */");
    ASSERT_TRUE(parsed) << key;
    EXPECT_EQ(parsed.value().parsed.request.session, frontend::hash_session_name(key)) << key;
  }
  EXPECT_FALSE(
      parse("SELECT 'beef' /* id=a,c=any,d=5,cluster=0 */").value().parsed.request.session);
}

TEST_F(PostgresStatementRequest, RejectsInvalidStatements) {
  struct Case {
    std::string text;
    std::string sqlstate;
    std::string error;
  };

  const std::vector<Case> cases = {
      {"SELECT 1; SELECT 2 /* id=a,c=any,d=5,cluster=0 */", "42601", "a query holds one statement"},
      {"SELECT 1", "42601", "the statement's comment holds no id"},
      {"SELECT 1 /* id=a,c=zz */", "42601", "the statement's comment names no known class"},
      {"SELECT 1 /* id=a,c=any,d=0,cluster=0 */", "42601",
       "the statement's comment holds no time to wait"},
      {"SELECT 1 /* id=a,c=any,d=3600001,cluster=0 */", "42601",
       "the statement's comment holds no time to wait"},
      {"SELECT 1 /* id=a,c=any,d=5,cluster=4294967296 */", "42601",
       "the statement's comment names no cluster"},
      {"SELECT 1 /* id=a,c=session,d=5,cluster=0,after=soon */", "42601",
       "the statement's comment holds no position in 'after'"},
      {"SELECT 1 /* id=a,c=session,d=5,cluster=0,after=9000000000001 */", "42601",
       "the statement's comment holds no position in 'after'"},
      {"DELETE FROM t /* id=a,c=any,d=5,cluster=0 */", "42601",
       "the statement does not fit its class"},
      {"SELECT 1 /* id=a,c=save,d=5,cluster=0,k=1 */", "42601",
       "the statement does not fit its class"},
      {"DELETE FROM t /* id=a,c=save,d=5,cluster=0 */", "42601",
       "the class needs an idempotency key"},
  };

  for (const auto& each : cases) {
    const auto parsed = parse(each.text);
    ASSERT_FALSE(parsed) << each.text;
    EXPECT_EQ(parsed.error().sqlstate, each.sqlstate) << each.text;
    EXPECT_EQ(parsed.error().text, each.error) << each.text;
  }
}

TEST_F(PostgresStatementRequest, UsesTheClassifierIfThereIsOne) {
  const auto write = parse("SELECT nextval('s') /* id=a,c=any,d=5,cluster=0 */", &classifier_);
  ASSERT_FALSE(write);
  EXPECT_STREQ(write.error().sqlstate, kReadOnlyTransaction);
  EXPECT_EQ(write.error().text, "the statement may write, and its class reads: function nextval is "
                                "not known to read only");
  const std::string comment = " /* id=a,c=save,d=5,cluster=0,k=1 */";
  EXPECT_TRUE(parse("SELECT mystery()" + comment, &classifier_).value().parsed.is_single_attempt);
  EXPECT_FALSE(parse("DELETE FROM t" + comment, &classifier_).value().parsed.is_single_attempt);
}

TEST_F(PostgresStatementRequest, RewriterReplacesOnlyTheDeadline) {
  const std::string text = "SELECT 1 /* id=a,c=any,d=1500,cluster=0 */";
  const DeadlineField deadline = parse(text).value().deadline;
  StatementRewriter rewriter;
  EXPECT_EQ(rewriter.rewrite(text, deadline, 123ms + 456ns),
            (proxy::ByteSpans{"SELECT 1 /* id=a,c=any,d=", "123", ",cluster=0 */"}));
  EXPECT_EQ(rewriter.rewrite(text, deadline, 5ns),
            (proxy::ByteSpans{"SELECT 1 /* id=a,c=any,d=", "1", ",cluster=0 */"}));
}

}  // namespace
}  // namespace gorsebeam::postgres

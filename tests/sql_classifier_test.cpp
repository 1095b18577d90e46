/// The classification of SQL statements: a write must never be classified as a read.
#include "sql_classifier/sql_classifier.h"
#include "sql_classifier/token_scanner.h"

#include <gtest/gtest.h>

namespace gorsebeam::sql_classifier {
namespace {

TEST(SqlClassifier, RecognizesReads) {
  const SqlClassifier sql({"area_total", "app.last_fault"});
  for (const char* text : {
           "SELECT 1",
           "SELECT data FROM facts WHERE code = '7f' /* id=a,c=b */",
           "select f.data, count(*) over (partition by f.code order by f.at) from facts f left "
           "join sites s "
           "using (id) "
           "where f.at > now() - interval '1 day' and f.code in ('a','b') group by 1 having "
           "sum(f.v) > 3 "
           "order by 1 "
           "limit 10 offset 5",
           "SELECT DISTINCT ON (a) a, b FROM t UNION ALL SELECT c, d FROM u INTERSECT SELECT 1, 2",
           // NOLINTNEXTLINE(bugprone-suspicious-missing-comma): one statement over two lines
           "WITH RECURSIVE r(n) AS (SELECT 1 UNION ALL SELECT n + 1 FROM r WHERE n < 9) SELECT * "
           "FROM r",
           "SELECT * FROM generate_series(1, 10) g, LATERAL (SELECT g * 2) x",
           "SELECT CASE WHEN a IS NULL THEN 'DELETE FROM t' ELSE b::text END FROM t",
           "SELECT $$; DROP TABLE t; $$, $q$ nextval('x') $q$, E'\\'; DELETE FROM t; --', "
           "U&'d\\0061t'",
           "SELECT /* outer /* inner; DELETE FROM t */ still */ 1 -- and DELETE FROM t",
           "SELECT a[1:2], b->>'k', c @> '{}'::jsonb, ARRAY[1,2], ROW(1,2), (x).y FROM t",
           "SELECT EXISTS (SELECT 1 FROM t WHERE a = ANY (SELECT b FROM u))",
           "SELECT coalesce(max(v), 0), greatest(1, 2), extract(year FROM at), current_date FROM t",
           "SELECT area_total(4), app.last_fault(id) FROM t",
           "SELECT pg_catalog.lower(a) FROM t TABLESAMPLE SYSTEM (10)",
           "VALUES (1, 'x'), (2, 'y')",
           "TABLE facts",
           "SHOW server_version",
           "SELECT percentile_cont(0.5) WITHIN GROUP (ORDER BY v) FILTER (WHERE v > 0) FROM t",
       })
    EXPECT_EQ(sql.classify(text).effect, Effect::Read) << text << ": " << sql.classify(text).reason;
}

TEST(SqlClassifier, NeverClassifiesAWriteAsARead) {
  const SqlClassifier sql;
  for (const char* text : {
           "INSERT INTO t VALUES (1)",
           "UPDATE t SET a = 1",
           "DELETE FROM t",
           "TRUNCATE t",
           "MERGE INTO t USING u ON t.a = u.a WHEN MATCHED THEN DELETE",
           "CREATE TABLE t (a int)",
           "DROP TABLE t",
           "ALTER TABLE t ADD b int",
           "CREATE INDEX ON t (a)",
           "GRANT ALL ON t TO u",
           "COMMENT ON TABLE t IS 'x'",
           "SELECT * INTO u FROM t",
           "SELECT * FROM t FOR UPDATE",
           "SELECT * FROM t FOR KEY SHARE SKIP LOCKED",
           "SELECT * FROM (SELECT * FROM t FOR SHARE) x",
           "SELECT (SELECT a FROM t LIMIT 1 FOR UPDATE)",
           "WITH d AS (DELETE FROM t RETURNING *) SELECT * FROM d",
           // NOLINTNEXTLINE(bugprone-suspicious-missing-comma): one statement over two lines
           "WITH a AS (WITH b AS (INSERT INTO t VALUES (1) RETURNING *) SELECT * FROM b) SELECT * "
           "FROM a",
           "SELECT * FROM t WHERE a IN (WITH x AS (UPDATE t SET a = 1 RETURNING a) SELECT a FROM "
           "x)",
           "EXPLAIN ANALYZE DELETE FROM t",
           "EXPLAIN (ANALYZE true) SELECT 1",
           "COPY t FROM STDIN",
           "COPY t TO PROGRAM 'rm -rf /'",
           "COPY (DELETE FROM t RETURNING *) TO STDOUT",
           "CALL p()",
           "DO $$ BEGIN DELETE FROM t; END $$",
           "EXECUTE x",
           "PREPARE x AS DELETE FROM t",
           "DEALLOCATE x",
           "SELECT nextval('s')",
           "SELECT setval('s', 1)",
           "SELECT pg_catalog.nextval('s')",
           "SELECT lastval()",
           "SELECT pg_advisory_lock(1)",
           "SELECT pg_try_advisory_xact_lock(1)",
           "SELECT lo_unlink(1)",
           "SELECT lo_import('/etc/passwd')",
           "SELECT pg_notify('a', 'b')",
           "SELECT pg_terminate_backend(1)",
           "SELECT set_config('a', 'b', false)",
           "SELECT txid_current()",
           "SELECT unheard_of(1)",
           "SELECT public.lower('x')",
           "SELECT app.upper('x')",
           "SELECT * FROM unheard_of(1)",
           "SELECT * FROM ROWS FROM (generate_series(1, 2), mystery(3)) x",
           "SELECT a === b FROM t",
           "SELECT a OPERATOR(public.+) b FROM t",
           "SELECT 1 WHERE a = ANY (SELECT mystery())",
           "SELECT a::mytype FROM t",
           "SELECT CAST(a AS app.kind) FROM t",
           "SELECT 'x'::regclass",
           "SELECT * FROM t ORDER BY a USING ===",
           "SELECT count(*) FILTER (WHERE mystery(a)) FROM t",
           "SELECT sum(a) OVER (ORDER BY mystery(a)) FROM t",
           "SELECT CASE WHEN mystery() THEN 1 END",
           "SELECT * FROM t JOIN u ON mystery(t.a)",
           "SELECT 1 LIMIT mystery()",
           "VALUES (mystery())",
           "SELECT query_to_xml('DELETE FROM t', true, true, '')",
           "SELECT dblink('', 'DELETE FROM t')",
           "SET x = 1",
           "SET LOCAL x = 1",
           "RESET ALL",
           "BEGIN",
           "COMMIT",
           "ROLLBACK",
           "SAVEPOINT a",
           "LISTEN a",
           "NOTIFY a",
           "UNLISTEN *",
           "LOCK TABLE t",
           "VACUUM",
           "ANALYZE t",
           "REINDEX TABLE t",
           "CLUSTER t",
           "REFRESH MATERIALIZED VIEW v",
           "CHECKPOINT",
           "LOAD 'x'",
           "DECLARE c CURSOR FOR SELECT 1",
           "FETCH c",
           "SELECT 1; DELETE FROM t",
           "SELECT 1; SELECT nextval('s')",
           "SELECT 'odd",
           "SELECT $a$ odd $b$",
           "SELECT 1 /* unfinished",
           "SELECT \"odd",
           "SELEC 1",
           "",
           ";",
           "--",
           "SELECT E'\\",
           "SELECT 1 FROM",
           "SELECT $1::unheard",
           "CREATE TABLE u AS SELECT 1",
           "IMPORT FOREIGN SCHEMA a FROM SERVER b INTO c",
       })
    EXPECT_NE(sql.classify(text).effect, Effect::Read) << text;
  EXPECT_EQ(sql.classify("SELECT * FROM t FOR UPDATE").effect, Effect::Write);
  EXPECT_EQ(sql.classify("SELECT mystery(); DELETE FROM t").effect,
            Effect::Write);  // The most severe effect is kept.
  EXPECT_EQ(sql.classify("SELECT mystery()").reason, "function mystery is not known to read only");
}

TEST(SqlClassifier, ClassifiesTooLargeOrTooDeepStatementsAsUnknown) {
  const SqlClassifier sql;
  const auto nested = [](int depth) {
    return "SELECT " + std::string(static_cast<std::size_t>(depth), '(') + "1" +
           std::string(static_cast<std::size_t>(depth), ')');
  };
  EXPECT_EQ(sql.classify(nested(50)).effect, Effect::Read);
  for (const int depth : {5'000, 30'000})
    EXPECT_NE(sql.classify(nested(depth)).effect, Effect::Write);
  std::string chain = "SELECT 1";
  while (chain.size() < 60'000)
    chain += "+1";
  EXPECT_EQ(sql.classify(chain).effect, Effect::Unknown);
  std::string subqueries = "SELECT 1";
  for (int i = 0; i < 2'000; ++i)
    subqueries.insert(0, "SELECT (").append(")");
  EXPECT_EQ(sql.classify(subqueries).effect, Effect::Unknown);
  std::string negations = "SELECT ";
  for (int i = 0; i < 20'000; ++i)
    negations += "- ";
  EXPECT_EQ(sql.classify(negations + "1").effect, Effect::Unknown);
  EXPECT_EQ(sql.classify("SELECT '" + std::string(70'000, 'x') + "'").effect, Effect::Unknown);
  EXPECT_EQ(sql.classify(std::string("SELECT 1\0DELETE", 15)).effect, Effect::Unknown);
}

/// A statement with `count` terms, and so with `2 * count` tokens.
std::string sum_of(int count) {
  std::string statement = "SELECT a";
  for (int i = 1; i < count; ++i)
    statement += "+a";
  return statement;
}

/// An UPDATE that assigns one value to four columns, which is a subquery with such an UPDATE, up to
/// `levels` levels.
std::string nested_updates(int levels) {
  if (levels == 0)
    return "(1)";
  return "(WITH x AS (UPDATE t SET (a,b,c,d) /* all */ = " + nested_updates(levels - 1) +
         " RETURNING a) SELECT a FROM x)";
}

// Guards against a gateway that is killed for its memory because of one statement of 64 KiB.
TEST(SqlClassifier, DoesNotParseAStatementOfTooManyTokens) {
  const SqlClassifier sql({}, 100);
  EXPECT_EQ(sql.classify(sum_of(50)).effect, Effect::Read);
  const std::string too_many = "it holds more than 100 tokens";
  for (const int terms : {51, 101, 30'000}) {
    const Classification classification = sql.classify(sum_of(terms));
    EXPECT_EQ(classification.effect, Effect::Unknown) << terms;
    EXPECT_EQ(classification.reason, too_many) << terms;
  }
  EXPECT_EQ(SqlClassifier().classify(sum_of(32'000)).reason, "it holds more than 4096 tokens");
  std::string insert = " insert INTO t VALUES (1";
  for (int i = 0; i < 1'000; ++i)
    insert += ",1";
  EXPECT_EQ(sql.classify(insert + ")").effect, Effect::Write);
  EXPECT_EQ(sql.classify(insert + ")").reason, too_many);
}

TEST(SqlClassifier, CountsALongLiteralAsOneToken) {
  const SqlClassifier sql({}, 100);
  std::string words;
  while (words.size() < 700)
    words += "update ";
  EXPECT_EQ(sql.classify("SELECT a FROM t WHERE b = '" + words + "'").effect, Effect::Read);
  EXPECT_EQ(sql.classify("SELECT a FROM t WHERE b = '" + std::string(60'000, 'f') + "'").effect,
            Effect::Read);
}

// Guards against a gateway that is killed for its memory because of a statement of a few hundred
// bytes: its syntax tree is printed with one copy of the assigned value for each column.
TEST(SqlClassifier, DoesNotParseAnAssignmentToAListOfColumns) {
  const SqlClassifier sql;
  const std::string reason = "it may assign to a list of columns";
  for (const int levels : {1, 6, 8}) {
    const Classification read = sql.classify("SELECT a FROM t WHERE a = " + nested_updates(levels));
    EXPECT_EQ(read.effect, Effect::Unknown) << levels;
    EXPECT_EQ(read.reason, reason) << levels;
  }
  const Classification update = sql.classify("UpDaTe t SET (a, b)= (SELECT 1, 2)");
  EXPECT_EQ(update.effect, Effect::Write);
  EXPECT_EQ(update.reason, reason);
  EXPECT_EQ(sql.classify("UPDATE t SET a = 1 WHERE b = (2)").reason, "UpdateStmt");
  EXPECT_EQ(sql.classify("SELECT 'update' FROM t WHERE (a) = 1").effect, Effect::Read);
}

TEST(TokenScanner, CountsAtLeastTheTokensThatTheScannerFinds) {
  for (const std::string text : {
           R"(SELECT a1.b, 12.5e3, $1$2$3, 1a, 0x1f, 'it''s', E'\'', $q$ x $q$ FROM "t" -- end)",
           "SELECT a/* one /* two */ */+b||c::int[3], 1e5update, .5.5, \xc3\xa4\xc3\xb6 <> "
           "U&'\\0061'",
           "1a2b3c 1_2 a$b$c 1e 1e+ 1.e2.e3",
           "a\vb \v\v\v c\fd",
       }) {
    const auto tokens = scan_tokens(text);
    if (tokens) {
      EXPECT_GE(token_count_bound(text), tokens->size()) << text;
    }
  }
  EXPECT_EQ(scan_tokens("SELECT a/* b */+c -- d")->size(), 4U);
  EXPECT_EQ(scan_tokens("SELECT 'a"), std::nullopt);
}

}  // namespace
}  // namespace gorsebeam::sql_classifier

// Team contracts and the classification of SQL statements, both set in the operators' file.
#include "gateway_integration_test.h"

#include <cstring>

using namespace test_harness;

namespace {

class Contracts : public GatewayIntegrationTest {
protected:
  static void publish_portal_contract(GatewayHarness& harness, const std::string& terms) {
    harness.write_operator_file("contracts { team { name: 'portal' " + terms + " } }");
    harness.publish_inventory();
  }
};

// A request beyond the budget is rejected at once; one outside the contract fails.
TEST_P(Contracts, BoundRateAttemptsAndClasses) {
  GatewayHarness harness(protocol(), 2, 0,
                         "contracts { team { name: 'portal' budget { per_second: 0.01 burst: 3 } "
                         "class { name: 'any' tries: 1 longest_wait_ms: 700 } } }");
  harness.start();
  const auto client = harness.connect_client();
  ASSERT_EQ(client->send_and_await(read_request("one")), ClientResult::Served);
  harness.script = {ScriptedResponse::Fail};
  ASSERT_EQ(client->send_and_await(read_request("two")), ClientResult::Rejected);
  ASSERT_EQ(harness.attempt_count("two"), 1) << "the contract allows one attempt";
  ASSERT_EQ(client->send_and_await(keyed_write("not-theirs")), ClientResult::Failed);
  ASSERT_EQ(client->send_and_await(read_request("three")), ClientResult::Served);
  ASSERT_EQ(client->send_and_await(read_request("four")), ClientResult::Rejected);
  ASSERT_EQ(harness.attempt_count("four"), 0);
  for (const auto& attempt : harness.attempts)
    ASSERT_LE(attempt.request.timeout_ms, 700);

  // After a reload, a request in flight ends by the terms that it began with; new ones come under
  // the new terms, which have no budget.
  publish_portal_contract(harness, "class { name: 'any' longest_wait_ms: 900 tries: 1 }");
  const auto waiting = harness.connect_client();
  ASSERT_EQ(waiting->send_and_await(read_request("five")), ClientResult::Served);
  harness.script = {ScriptedResponse::NoResponse};
  waiting->send_request(read_request("open"));
  harness.await_first_attempt("open");
  publish_portal_contract(harness, "class { name: 'save' }");
  ASSERT_EQ(client->send_and_await(keyed_write("theirs-now")), ClientResult::Served);
  ASSERT_EQ(client->send_and_await(read_request("not-any-more")), ClientResult::Failed);
  harness.write_operator_file("contracts { team { name: 'others' class { name: 'any' } } }");
  harness.publish_inventory();
  ASSERT_EQ(client->send_and_await(keyed_write("no-contract")), ClientResult::Failed);
  ASSERT_EQ(waiting->await_response(), ClientResult::Rejected);  // after its 900 ms
  if (is_mongo()) {  // the groups of PostgreSQL's discovery are not known beforehand
    publish_portal_contract(harness, "class { name: 'any' } group: 7");
    ASSERT_EQ(client->send_and_await(read_request("other-group")), ClientResult::Failed);
  }
  harness.expect_invariants_and_running();
}

class SqlClassification : public GatewayIntegrationTest {};

// A statement that may write is never sent under a class for reads, whatever it calls itself; one
// of unknown effect is sent once under a class for writes.
TEST_P(SqlClassification, KeepsWritesOutOfReadClasses) {
  GatewayHarness harness(protocol(), 3, 0, "shapes { postgres: true read_function: 'area_total' }");
  harness.start();
  const auto client = harness.connect_client();
  int number = 0;
  const auto statement_request = [&](const char* statement, const char* service_class = "any") {
    const std::string id = "statement" + std::to_string(number++);
    const bool is_write = std::strcmp(service_class, "any") != 0;
    return Request{id, service_class, "key", 2000, is_write, statement};
  };
  for (const char* statement :
       {"SELECT area_total(3), upper(data) FROM facts WHERE code = 'x; DELETE FROM facts'",
        "WITH recent AS (SELECT * FROM facts) SELECT count(*) FROM recent"})
    ASSERT_EQ(client->send_and_await(statement_request(statement)), ClientResult::Served)
        << statement;
  for (const char* statement :
       {"SELECT nextval('ids')", "SELECT other(3)", "SELECT data FROM facts FOR UPDATE",
        "WITH gone AS (DELETE FROM facts RETURNING *) SELECT * FROM gone",
        "SELECT data INTO copy FROM facts", "EXPLAIN ANALYZE DELETE FROM facts", "SELECT 'odd"}) {
    const Request request = statement_request(statement);
    ASSERT_EQ(client->send_and_await(request), ClientResult::Failed) << statement;
    ASSERT_EQ(harness.attempt_count(request.id), 0) << statement;
  }
  const Request unknown_effect =
      statement_request("INSERT INTO facts (code) VALUES (mystery())", "save");
  ASSERT_NE(client->send_and_await(unknown_effect), ClientResult::Failed);
  harness.script = {ScriptedResponse::RejectOverloaded};
  const Request unparsable = statement_request("VACUUM_ODDLY", "save");
  ASSERT_EQ(client->send_and_await(unparsable), ClientResult::Rejected);
  ASSERT_EQ(harness.attempt_count(unparsable.id), 1);

  harness.write_operator_file("");  // turns the classification off
  harness.publish_inventory();
  ASSERT_EQ(client->send_and_await(statement_request("SELECT other(3)")), ClientResult::Served);
  harness.expect_invariants_and_running();
}

INSTANTIATE_TEST_SUITE_P(, Contracts, both_protocols(), protocol_name);
INSTANTIATE_TEST_SUITE_P(, SqlClassification, postgres_only(), protocol_name);

}  // namespace

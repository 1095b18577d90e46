// Team contracts and the classification of SQL statements, which the operators' file configures.
#include "gateway_integration_test.h"

#include <algorithm>
#include <memory>
#include <string>

using namespace test_harness;

namespace {

// Allows only requests of class `any`, each with one attempt and at most 700 ms. The budget admits
// three requests at once, and then one in 100 s.
constexpr const char* kBudgetedContract =
    "contracts { team { name: 'portal' budget { per_second: 0.01 burst: 3 } "
    "class { name: 'any' tries: 1 longest_wait_ms: 700 } } }";

class Contracts : public GatewayIntegrationTest {
protected:
  Contracts() : harness_(protocol(), 2, 0, kBudgetedContract) {}

  void SetUp() override {
    harness_.start();
    client_ = harness_.connect_client();
  }

  void publish_portal_contract(const std::string& terms) {
    harness_.write_operator_file("contracts { team { name: 'portal' " + terms + " } }");
    harness_.publish_inventory();
  }

  GatewayHarness harness_;
  std::unique_ptr<TestClient> client_;
};

TEST_P(Contracts, LimitRateAttemptsWaitAndClasses) {
  ASSERT_EQ(client_->send_and_await(read_request("one")), ClientResult::Served);
  harness_.script = {ScriptedResponse::Fail};
  ASSERT_EQ(client_->send_and_await(read_request("two")), ClientResult::Rejected);
  ASSERT_EQ(harness_.attempt_count("two"), 1) << "the contract allows one attempt";
  ASSERT_EQ(client_->send_and_await(keyed_write("other-class")), ClientResult::Failed);
  ASSERT_EQ(client_->send_and_await(read_request("three")), ClientResult::Served);
  ASSERT_EQ(client_->send_and_await(read_request("over-budget")), ClientResult::Rejected);
  ASSERT_EQ(harness_.attempt_count("over-budget"), 0);
  for (const auto& attempt : harness_.attempts)
    ASSERT_LE(attempt.request.timeout_ms, 700);
  harness_.expect_invariants_and_running();
}

// Guards against the end of the process: a class that was added to both files was validated with
// the new ones, and looked up among those of the start.
TEST_P(Contracts, AreNotReloadedWithAClassThatNeedsARestart) {
  PlatformSettings settings;
  settings.added_class = "added";
  harness_.set_platform_settings(settings);
  harness_.write_operator_file("contracts { team { name: 'portal' class { name: 'any' tries: 1 } "
                               "class { name: 'added' tries: 1 } } }");
  harness_.reload("127.0.0.1:1", "reload_rejected");
  expect_contains(harness_.gateway.log, "'added' is no class of the settings");
  ASSERT_EQ(client_->send_and_await(read_request("one")), ClientResult::Served);
  harness_.expect_invariants_and_running();
}

// After a reload, a request in flight ends by the terms under which it began; new requests are
// subject to the new terms, which have no budget.
TEST_P(Contracts, ApplyNewTermsToNewRequestsAfterReload) {
  for (const char* id : {"one", "two", "three"})
    ASSERT_EQ(client_->send_and_await(read_request(id)), ClientResult::Served);
  ASSERT_EQ(client_->send_and_await(read_request("over-budget")), ClientResult::Rejected);
  publish_portal_contract("class { name: 'any' longest_wait_ms: 900 tries: 1 }");
  const auto waiting = harness_.connect_client();
  ASSERT_EQ(waiting->send_and_await(read_request("without-budget")), ClientResult::Served);
  harness_.script = {ScriptedResponse::NoResponse};
  waiting->send_request(read_request("in-flight"));
  harness_.await_first_attempt("in-flight");

  publish_portal_contract("class { name: 'save' }");

  ASSERT_EQ(client_->send_and_await(keyed_write("new-class")), ClientResult::Served);
  ASSERT_EQ(client_->send_and_await(read_request("old-class")), ClientResult::Failed);
  harness_.write_operator_file("contracts { team { name: 'others' class { name: 'any' } } }");
  harness_.publish_inventory();
  ASSERT_EQ(client_->send_and_await(keyed_write("no-contract")), ClientResult::Failed);
  ASSERT_EQ(waiting->await_response(), ClientResult::Rejected);  // at the end of its 900 ms
  if (is_mongo()) {  // for PostgreSQL the file is invalid: the inventory has no group 7
    publish_portal_contract("class { name: 'any' } group: 7");
    ASSERT_EQ(client_->send_and_await(read_request("other-group")), ClientResult::Failed);
  }
  harness_.expect_invariants_and_running();
}

class SqlClassification : public GatewayIntegrationTest {
protected:
  SqlClassification()
      : harness_(protocol(), 3, 0, "shapes { postgres: true read_function: 'area_total' }") {}

  void SetUp() override {
    harness_.start();
    client_ = harness_.connect_client();
  }

  Request read_statement(const char* statement) {
    return {next_id(), "any", "key", 2000, false, statement};
  }

  Request write_statement(const char* statement) {
    return {next_id(), "save", "", 2000, true, statement};
  }

  GatewayHarness harness_;
  std::unique_ptr<TestClient> client_;

private:
  std::string next_id() {
    ++statement_count_;
    return "statement" + std::to_string(statement_count_);
  }

  int statement_count_ = 0;
};

TEST_P(SqlClassification, KeepsWritesOutOfReadClasses) {
  for (const char* statement :
       {"SELECT area_total(3), upper(data) FROM facts WHERE code = 'x; DELETE FROM facts'",
        "WITH recent AS (SELECT * FROM facts) SELECT count(*) FROM recent"})
    ASSERT_EQ(client_->send_and_await(read_statement(statement)), ClientResult::Served)
        << statement;
  for (const char* statement :
       {"SELECT nextval('ids')", "SELECT other(3)", "SELECT data FROM facts FOR UPDATE",
        "WITH gone AS (DELETE FROM facts RETURNING *) SELECT * FROM gone",
        "SELECT data INTO copy FROM facts", "EXPLAIN ANALYZE DELETE FROM facts", "SELECT 'odd"}) {
    const Request request = read_statement(statement);
    ASSERT_EQ(client_->send_and_await(request), ClientResult::Failed) << statement;
    ASSERT_EQ(harness_.attempt_count(request.id), 0) << statement;
  }
  harness_.expect_invariants_and_running();
}

// The gateway does not retry a write whose effect it cannot determine.
TEST_P(SqlClassification, AttemptsWriteOfUnknownEffectOnce) {
  expect_reads_served(*client_, "warm", 2);
  const Request unknown_effect = write_statement("INSERT INTO facts (code) VALUES (mystery())");
  ASSERT_NE(client_->send_and_await(unknown_effect), ClientResult::Failed);
  harness_.script = {ScriptedResponse::RejectOverloaded};
  const Request unparsable = write_statement("VACUUM_ODDLY");
  ASSERT_EQ(client_->send_and_await(unparsable), ClientResult::Rejected);
  ASSERT_EQ(harness_.attempt_count(unparsable.id), 1);
  harness_.expect_invariants_and_running();
}

// Guards against late answers to other clients: statements of thousands of tokens, which take
// milliseconds each to classify, were all classified in one iteration of the event loop.
TEST_P(SqlClassification, ServesOthersBetweenLargeStatements) {
  constexpr std::size_t kLargeCount = 20;
  std::string columns = "other(3)";
  for (int i = 0; i < 1'900; ++i)
    columns += ",a";
  const std::string statement = "SELECT " + columns + " FROM facts";
  std::vector<std::unique_ptr<TestClient>> senders;
  for (std::size_t i = 0; i < kLargeCount; ++i) {
    senders.push_back(harness_.connect_client());
    expect_reads_served(*senders.back(), "s" + std::to_string(i) + "-", 1);
  }
  const auto other = harness_.connect_client();
  expect_reads_served(*other, "o", 1);
  harness_.gateway.freeze();
  for (const auto& sender : senders)
    sender->send_request(read_statement(statement.c_str()));
  other->send_request(read_request("between"));
  for (const auto& sender : senders)
    sender->await_flushed();
  other->await_flushed();
  harness_.gateway.resume();

  ASSERT_EQ(other->await_response(), ClientResult::Served);
  const auto answered = std::count_if(senders.begin(), senders.end(), [](const auto& sender) {
    return !sender->responses.empty();
  });
  EXPECT_LT(static_cast<std::size_t>(answered), kLargeCount / 2);
  for (const auto& sender : senders)
    ASSERT_EQ(sender->await_response(), ClientResult::Failed);
  harness_.expect_invariants_and_running();
}

TEST_P(SqlClassification, IsDisabledByReload) {
  ASSERT_EQ(client_->send_and_await(read_statement("SELECT other(3)")), ClientResult::Failed);

  harness_.write_operator_file("");
  harness_.publish_inventory();

  ASSERT_EQ(client_->send_and_await(read_statement("SELECT other(3)")), ClientResult::Served);
  harness_.expect_invariants_and_running();
}

INSTANTIATE_TEST_SUITE_P(, Contracts, both_protocols(), protocol_name);
INSTANTIATE_TEST_SUITE_P(, SqlClassification, postgres_only(), protocol_name);

}  // namespace

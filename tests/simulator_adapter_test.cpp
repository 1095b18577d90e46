/// The simulator's protocol: messages in, replies out, and the errors of malformed input.
#include "simulator_adapter/session.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>

namespace {

using gorsebeam::simulator_adapter::ProtocolError;
using gorsebeam::simulator_adapter::Session;
using testing::HasSubstr;

const char* const kNewInstance =
    R"({"NEW_INSTANCE":{"router_id":4,"init_seed":9,"profile_data":{"classes":[{"name":"look","aim":100000000,)"
    R"("give_up":500000000,"effect":"free","worth":1}],"extra":{"read_level":["eventual"],"lag_allowed":[0],)"
    R"("zero":0,"unheard_of":[1,2]},"limits":{"probes":true,"send_cap":3},"obligations":{"cold_from":0.5},)"
    R"("tick":1000000}}})";

class SimulatorSession : public testing::Test {
protected:
  void send(const std::string& line) { session_.handle_line(line, reply_); }

  /// Starts router 4 with endpoint 55 of group 3, in a batch of its own.
  void start_router() {
    send(R"({"TURN":{"time":1000000}})");
    send(kNewInstance);
    send(R"({"SHEET":{"buffer":2,"elements":[{"node":55,"cluster":3,"mode":"up"}]}})");
    send(R"({"VIEW":{"router_id":4,"kind":"disk","buffer":2,"seq_no":1}})");
    send(R"({"END":{}})");
  }

  /// Sends `line` and returns the message of the error that it causes; empty if there is none.
  std::string send_malformed(const std::string& line) {
    try {
      send(line);
    } catch (const ProtocolError& error) {
      return error.what();
    }
    return "";
  }

  Session session_;
  std::string reply_;
};

TEST_F(SimulatorSession, RepliesReadyToAnEmptyBatch) {
  send(R"({"TURN":{"time":5}})");
  send(R"({"END":{}})");
  EXPECT_EQ(reply_, "{\"READY\":{}}\n");
}

TEST_F(SimulatorSession, SendsARequestToTheEndpointThatPassedItsHealthCheck) {
  start_router();
  EXPECT_THAT(reply_, HasSubstr(R"("HEALTH_CHECK":{"router_id":4,"node":55})"));
  reply_.clear();

  send(R"({"TURN":{"time":2000000}})");
  send(R"({"STATUS_BACK":{"router_id":4,"node":55,"code":"GOOD","delay_seen":1000}})");
  send(
      R"({"ORDER":{"router_id":4,"op_id":"abc","tier_class":"look","valid_until":400000000,"partition_no":3,"new":1}})");
  send(R"({"END":{}})");

  EXPECT_THAT(
      reply_,
      HasSubstr(
          R"({"CALL_OUT":{"router_id":4,"op_id":"abc","give_up_after":398000000,"node":55}})"));
}

// A session read goes to a replica that is 10 ms behind if its session has written nothing, which
// the simulator says by a token age of 0, or has written before that.
TEST_F(SimulatorSession, ReadsTheAgeOfASessionsLastWrite) {
  send(R"({"TURN":{"time":1000000}})");
  send(
      R"({"NEW_INSTANCE":{"router_id":4,"init_seed":9,"profile_data":{"classes":[{"name":"own","aim":100000000,)"
      R"("give_up":500000000,"effect":"free","worth":1}],"extra":{"read_level":["causal"],"lag_allowed":[0],)"
      R"("zero":0,"token_mode":"brought"},"limits":{"probes":true,"send_cap":3},"obligations":{"cold_from":0.5},)"
      R"("report":{"via":"answers","fields":["x0","x1"]},"tick":1000000}}})");
  send(R"({"SHEET":{"buffer":2,"elements":[{"node":55,"cluster":3,"mode":"up"}]}})");
  send(R"({"VIEW":{"router_id":4,"kind":"disk","buffer":2,"seq_no":1}})");
  send(R"({"END":{}})");
  send(R"({"TURN":{"time":1010000000}})");
  send(
      R"({"STATUS_BACK":{"router_id":4,"node":55,"code":"GOOD","delay_seen":1000,"report":{"x0":1.0,"x1":0}}})");
  for (const auto& [token_ms, is_sent] : {std::pair("0", true), {"20", true}, {"0.001", false}}) {
    reply_.clear();
    send(
        std::string(R"({"ORDER":{"router_id":4,"op_id":"id-)") + token_ms +
        R"(","tier_class":"own","session":5,"valid_until":1400000000,"partition_no":3,"token_ms":)" +
        token_ms + "}}");
    EXPECT_EQ(reply_.find("CALL_OUT") != std::string::npos, is_sent) << token_ms << ": " << reply_;
  }
}

TEST_F(SimulatorSession, NamesTheMalformedPart) {
  start_router();
  EXPECT_THAT(send_malformed("{\"TURN\":"), HasSubstr("not JSON"));
  EXPECT_THAT(send_malformed(R"({"END":{}})"), HasSubstr("outside a batch"));
  send(R"({"TURN":{"time":3000000}})");
  EXPECT_THAT(send_malformed(R"({"TICK_DUE":{"router_id":9}})"), HasSubstr("router 9"));
  EXPECT_THAT(send_malformed(R"({"STATUS_BACK":{"router_id":4,"code":"GOOD"}})"),
              HasSubstr("'node'"));
  EXPECT_THAT(send_malformed(R"({"STATUS_BACK":{"router_id":4,"node":55,"code":"FINE"}})"),
              HasSubstr("FINE"));
  EXPECT_THAT(send_malformed(R"({"VANISHED":{"router_id":4,"op_id":7}})"), HasSubstr("op_id"));
  EXPECT_THAT(send_malformed(R"({"PARTY":{"router_id":4}})"), HasSubstr("PARTY"));
}

TEST_F(SimulatorSession, RejectsEventsForARouterThatEnded) {
  start_router();
  send(R"({"TURN":{"time":3000000}})");
  send(R"({"DOWN":{"router_id":4}})");
  EXPECT_THAT(send_malformed(R"({"TICK_DUE":{"router_id":4}})"), HasSubstr("router 4"));
}

}  // namespace

// The adapter: the wire in, the wire out, and plain words on what is malformed.
#include "session.h"

#include <gtest/gtest.h>

namespace {

using gorsebeam::simulator_adapter::Session;
using gorsebeam::simulator_adapter::WireError;

const char* const kStart =
    R"({"NEW_INSTANCE":{"router_id":4,"init_seed":9,"profile_data":{"classes":[{"name":"look","aim":100000000,)"
    R"("give_up":500000000,"effect":"free","worth":1}],"extra":{"read_level":["eventual"],"lag_allowed":[0],)"
    R"("zero":0,"unheard_of":[1,2]},"limits":{"probes":true,"send_cap":3},"obligations":{"cold_from":0.5},)"
    R"("tick":1000000}}})";

struct Wire {
  Session session;
  std::string reply;

  void operator()(const std::string& text) { session.line(text, reply); }

  void start() {
    (*this)(R"({"TURN":{"time":1000000}})");
    (*this)(kStart);
    (*this)(R"({"SHEET":{"buffer":2,"elements":[{"node":55,"cluster":3,"mode":"up"}]}})");
    (*this)(R"({"VIEW":{"router_id":4,"kind":"disk","buffer":2,"seq_no":1}})");
    (*this)(R"({"END":{}})");
  }

  std::string fault(const std::string& text) {
    try {
      (*this)(text);
    } catch (const WireError& error) {
      return error.what();
    }
    return "";
  }
};

TEST(Adapter, AnEmptyBatchIsAnsweredByReady) {
  Wire wire;
  wire(R"({"TURN":{"time":5}})");
  wire(R"({"END":{}})");
  EXPECT_EQ(wire.reply, "{\"READY\":{}}\n");
}

TEST(Adapter, ARequestIsSentToTheMemberThatAnsweredItsProbe) {
  Wire wire;
  wire.start();
  EXPECT_NE(wire.reply.find(R"("HEALTH_CHECK":{"router_id":4,"node":55})"), std::string::npos);
  wire.reply.clear();
  wire(R"({"TURN":{"time":2000000}})");
  wire(R"({"STATUS_BACK":{"router_id":4,"node":55,"code":"GOOD","delay_seen":1000}})");
  wire(
      R"({"ORDER":{"router_id":4,"op_id":"abc","tier_class":"look","valid_until":400000000,"partition_no":3,"new":1}})");
  wire(R"({"END":{}})");
  EXPECT_NE(
      wire.reply.find(
          R"({"CALL_OUT":{"router_id":4,"op_id":"abc","give_up_after":398000000,"node":55}})"),
      std::string::npos)
      << wire.reply;
}

TEST(Adapter, SaysWhatIsWrong) {
  Wire wire;
  wire.start();
  EXPECT_NE(wire.fault("{\"TURN\":").find("not JSON"), std::string::npos);
  EXPECT_NE(wire.fault(R"({"END":{}})").find("outside a batch"), std::string::npos);
  wire(R"({"TURN":{"time":3000000}})");
  EXPECT_NE(wire.fault(R"({"TICK_DUE":{"router_id":9}})").find("router 9"), std::string::npos);
  EXPECT_NE(wire.fault(R"({"STATUS_BACK":{"router_id":4,"code":"GOOD"}})").find("'node'"),
            std::string::npos);
  EXPECT_NE(wire.fault(R"({"STATUS_BACK":{"router_id":4,"node":55,"code":"FINE"}})").find("FINE"),
            std::string::npos);
  EXPECT_NE(wire.fault(R"({"VANISHED":{"router_id":4,"op_id":7}})").find("op_id"),
            std::string::npos);
  EXPECT_NE(wire.fault(R"({"PARTY":{"router_id":4}})").find("PARTY"), std::string::npos);
}

TEST(Adapter, AnEndedInstanceIsUnknown) {
  Wire wire;
  wire.start();
  wire(R"({"TURN":{"time":3000000}})");
  wire(R"({"DOWN":{"router_id":4}})");
  EXPECT_NE(wire.fault(R"({"TICK_DUE":{"router_id":4}})").find("router 4"), std::string::npos);
}

}  // namespace

/// The agent writes the field that says that its answer is chunked without a space behind the
/// colon, as HTTP/1.1 allows.
#include "load.h"

using namespace standin;

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const Case& run) {
    Host& a1 = *new Host("s-000000a1", true);  // lives as long as its threads
    Host& a2 = *new Host("s-000000a2", false);
    Host& a3 = *new Host("s-000000a3", false);
    Member third{&a3, 1, "ready", "replica"};
    const std::vector<Member> members{
        {&a1, 1, "ready", "master"}, {&a2, 1, "ready", "replica"}, third};
    Agent& agent = *new Agent(members, run.has_trouble ? "Transfer-Encoding:chunked"
                                                       : "Transfer-Encoding: chunked");
    Config config;
    config.discovery = agent.address();
    config.known = list_json(1, true, members);
    Gateway gateway(run.folder, config);
    if (!gateway.start())
      return kCouldNotRun;
    Load load(gateway.port(), 4, 20, 900, 2000, [](const std::string& id) {
      return select(id, "area-summary", 900);
    });
    sleep_ms(3000);
    if (a3.statements().empty() || agent.calls().empty())
      return kCouldNotRun;
    third.phase = "draining";
    agent.change(third);
    const double told_at = now_ms();
    RECORD("agent: %s is draining", a3.name().c_str());
    // By the pages' last word on it: 6 s after discovery had it, 250 ms of grace and 50 ms of
    // slack.
    const double limit = told_at + 6000 + 250 + 50 + 50;
    sleep_ms(limit + 3000 - now_ms());
    load.stop();
    RECORD("clients: %s; calls of the gateway to the agent: %zu", load.summary().c_str(),
           agent.calls().size());
    if (gateway.has_ended() || load.requests().size() < 100)
      return kCouldNotRun;
    const int late = count_since(a3, limit, now_ms());
    RECORD("%d requests came to the draining host later than 6 s after the agent had it, 250 ms of "
           "grace and 50 ms of slack",
           late);
    return late > 0 ? kBroken : kHeld;
  });
}

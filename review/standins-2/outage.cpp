/// Discovery is down for some seconds; a data host begins to drain meanwhile, which the agent gets
/// at its return.
#include "load.h"

using namespace standin;

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const Case& run) {
    Host& a1 = *new Host("s-000000a1",
                         true);  // lives as long as its threads  // lives as long as its threads
    Host& a2 = *new Host("s-000000a2", false);
    Host& a3 = *new Host("s-000000a3", false);
    Member third{&a3, 1, "ready", "replica"};
    const std::vector<Member> members{
        {&a1, 1, "ready", "master"}, {&a2, 1, "ready", "replica"}, third};
    Agent& agent = *new Agent(members);
    Config config;
    config.discovery = agent.address();
    config.known = list_json(1, true, members);
    Gateway gateway(run.folder, config);
    if (!gateway.start())
      return kCouldNotRun;
    Load load(gateway.port(), 4, 20, 900, 2000, [](const std::string& id) {
      return select(id, "area-summary", 900);
    });
    sleep_ms(2000);
    if (a3.statements().empty())
      return kCouldNotRun;
    third.phase = "draining";
    if (run.has_trouble) {
      agent.fall_silent();
      const double down_at = now_ms();
      RECORD("discovery: down, the agent is silent");
      sleep_ms(5000);
      // It returns 0.3 s after a call, so it is down for 5 to 8 s.
      const std::size_t calls = agent.calls().size();
      while (agent.calls().size() == calls && now_ms() < down_at + 8000)
        sleep_ms(5);
      sleep_ms(300);
      RECORD("discovery: up again after %.0f ms", now_ms() - down_at);
      agent.speak_again();
    } else {
      sleep_ms(5000);
    }
    agent.change(third);
    const double told_at = now_ms();
    RECORD("agent: has got that %s is draining", a3.name().c_str());
    const double limit = told_at + 250 + 50 + 50;
    sleep_ms(limit + 4000 - now_ms());
    load.stop();
    RECORD("clients: %s", load.summary().c_str());
    if (gateway.has_ended() || load.requests().size() < 100)
      return kCouldNotRun;
    const int late = count_since(a3, limit, now_ms());
    RECORD("%d requests came to the draining host later than 250 ms of grace and 50 ms of slack",
           late);
    return late > 0 ? kBroken : kHeld;
  });
}

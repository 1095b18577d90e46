/// A new configuration moves discovery while the second front's inventory holds a row without a
/// group.
#include "load.h"

using namespace standin;

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const Case& run) {
    Host& a1 = *new Host("s-000000a1",
                         true);  // lives as long as its threads  // lives as long as its threads
    Host& a2 = *new Host("s-000000a2", false);
    Host& a3 = *new Host("s-000000a3", false);
    ListeningSocket mongo_host;  // a member of the second front; nobody uses that front here
    Member third{&a3, 1, "ready", "replica"};
    const std::vector<Member> members{
        {&a1, 1, "ready", "master"}, {&a2, 1, "ready", "replica"}, third};
    Agent& old_agent = *new Agent(members);
    Agent& new_agent = *new Agent(members);
    const std::string row = "db1,127.0.0.1:" + std::to_string(mongo_host.port) + ",1\n";
    write_file(run.folder + "/members.csv", "name,address,group\n" + row);
    write_file(run.folder + "/gateway.textproto",
               "mongo { listen: \"127.0.0.1:" + std::to_string(free_port()) +
                   "\" inventory: \"members.csv\" }\n");
    Config config;
    config.discovery = old_agent.address();
    config.known = list_json(1, true, members);
    Gateway gateway(run.folder, config, run.folder + "/gateway.textproto");
    if (!gateway.start())
      return kCouldNotRun;
    Load load(gateway.port(), 4, 20, 900, 2000, [](const std::string& id) {
      return select(id, "area-summary", 900);
    });
    sleep_ms(2000);
    if (a3.statements().empty())
      return kCouldNotRun;

    const std::string second =
        run.has_trouble ? "db2,127.0.0.1:" + std::to_string(mongo_host.port) + ",\n" : "";
    write_file(run.folder + "/members.new", "name,address,group\n" + row + second);
    ::rename((run.folder + "/members.new").c_str(), (run.folder + "/members.csv").c_str());
    gateway.config().discovery = new_agent.address();
    gateway.write_config();
    gateway.signal(SIGHUP);
    const double reloaded_at = now_ms();
    RECORD("platform: the configuration names the new agent %s; SIGHUP",
           new_agent.address().c_str());
    sleep_ms(1500);
    old_agent.close();
    RECORD("platform: the old agent has closed");
    sleep_ms(1500);
    third.phase = "draining";
    new_agent.change(third);
    RECORD("discovery: %s is draining, at the new agent", a3.name().c_str());
    const double limit = reloaded_at + 4000 + 250 + 50 + 50;
    sleep_ms(limit + 5000 - now_ms());
    load.stop();
    RECORD("clients: %s; calls to the new agent: %zu", load.summary().c_str(),
           new_agent.calls().size());
    if (gateway.has_ended() || load.requests().size() < 100)
      return kCouldNotRun;
    const int late = count_since(a3, limit, now_ms());
    RECORD("%d requests came to the draining host later than 4 s after SIGHUP, 250 ms of grace and "
           "50 ms of slack",
           late);
    return late > 0 ? kBroken : kHeld;
  });
}

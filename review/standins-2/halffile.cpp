/// The gateway reads a YAML inventory again while it is rewritten halfway, behind a whole line: a
/// host of group 11 has its address, but not yet its group, and the file's default is group 1.
#include "load.h"

using namespace standin;

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const Case& run) {
    const auto serves = [](const char* group) {
      return [group](Host& host, int fd, const std::string&) {
        return send_all(fd, row(group) + host.note() + ready());
      };
    };
    Host& a1 =
        *new Host("s-000000a1", true, serves("a row of group 1"));  // lives as long as its threads
    Host& a2 = *new Host("s-000000a2", false, serves("a row of group 1"));
    Host& b1 = *new Host("s-000000b1", true, serves("a row of group 11"));
    Host& b2 = *new Host("s-000000b2", false, serves("a row of group 11"));
    Host& c1 = *new Host("s-000000c1", true, serves("a row of group 12"));
    Host& c2 = *new Host("s-000000c2", false, serves("a row of group 12"));
    const auto entry = [](const Host& host, const std::string& variables) {
      return "    " + host.name() + ":\n" +
             (host.is_primary() ? "      role: primary\n" : "      role: replica\n") +
             "      address: " + host.address() + "\n" + variables;
    };
    const std::string first = "all:\n  vars:\n    group: 1\n    zone: palermo-nord\n  hosts:\n" +
                              entry(a1, "") + entry(a2, "") + entry(b1, "      group: 11\n") +
                              entry(b2, "");
    const std::string rest = "      group: 11\n" +
                             entry(c1, "      group: 12\n      zone: palermo-porto\n") +
                             entry(c2, "      group: 12\n      zone: palermo-porto\n");
    const std::string path = run.folder + "/members.yaml";
    write_file(path, first + rest);
    write_file(run.folder + "/gateway.textproto", "postgres { inventory: \"members.yaml\" }\n");
    Agent& agent = *new Agent({});
    Config config;
    config.discovery = agent.address();
    config.known = list_json(1, true, {});
    Gateway gateway(run.folder, config, run.folder + "/gateway.textproto");
    if (!gateway.start())
      return kCouldNotRun;
    static std::mutex mutex;
    static int foreign = 0;
    static int answered = 0;
    static std::atomic<bool> is_done{false};
    const int port = gateway.port();
    std::vector<std::thread> clients;
    for (int i = 0; i < 4; ++i)
      clients.emplace_back([port] {
        Client client(port);
        while (!is_done && client.is_open()) {
          const std::string id = new_id();
          const Answer answer = client.ask(select(id, "area-summary", 900, 1), 2000);
          const std::lock_guard<std::mutex> lock(mutex);
          answered += answer.kind == Answer::Kind::Served ? 1 : 0;
          const bool is_foreign =
              answer.kind == Answer::Kind::Served && answer.value != "a row of group 1";
          foreign += is_foreign ? 1 : 0;
          RECORD("client: request %s to group 1: %s%s%s", id.c_str(), answer.text().c_str(),
                 is_foreign ? ": wrong, it is " : "", is_foreign ? answer.value.c_str() : "");
          sleep_ms(20);
        }
      });
    sleep_ms(2000);
    // The same inventory is written again, in place.
    if (run.has_trouble) {
      write_file(path, first);
      RECORD("operator: %zu of the inventory's %zu bytes are written; SIGHUP", first.size(),
             first.size() + rest.size());
      gateway.signal(SIGHUP);
      sleep_ms(2500);
    }
    write_file(path, first + rest);
    gateway.signal(SIGHUP);
    RECORD("operator: the inventory is written to its end; SIGHUP");
    sleep_ms(2500);
    is_done = true;
    for (std::thread& client : clients)
      client.join();
    RECORD("of %d reads of group 1 that were served, %d had a row of another group", answered,
           foreign);
    if (gateway.has_ended() || answered < 100)
      return kCouldNotRun;
    return foreign > 0 ? kBroken : kHeld;
  });
}

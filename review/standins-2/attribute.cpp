/// A read class carries a call of a function that writes, written as an attribute of a row:
/// `f.close_account` calls close_account(f), as PostgreSQL's documentation says of composite types.
/// The answer to its first run is lost.
#include "load.h"

using namespace standin;

namespace {

/// Whether the statement calls the function, in either notation.
bool calls_function(const std::string& sql) {
  return sql.find("f.close_account") != std::string::npos ||
         sql.find("close_account(f)") != std::string::npos;
}

}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const Case& run) {
    static std::mutex mutex;
    static std::map<std::string, int> applied;  // by request
    static std::map<std::string, int> at_replicas;
    const auto handler = [](Host& host, int fd, const std::string& sql) {
      if (!calls_function(sql))
        return false;
      const std::string id = comment_field(sql, "id");
      if (!host.is_primary()) {
        RECORD("%s: a replica got the writing statement, and turns it away: id=%s",
               host.name().c_str(), id.c_str());
        {
          const std::lock_guard<std::mutex> lock(mutex);
          ++at_replicas[id];
        }
        return send_all(fd, error("25006") + host.note() + ready());
      }
      int times = 0;
      {
        const std::lock_guard<std::mutex> lock(mutex);
        times = ++applied[id];
      }
      RECORD("%s: the primary has applied the write, for the %d. time: id=%s%s",
             host.name().c_str(), times, id.c_str(),
             times == 1 ? "; the connection is reset before its answer" : "");
      if (times > 1)
        return send_all(fd, row("closed") + host.note() + ready());
      const linger reset{1, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      ::shutdown(fd, SHUT_RDWR);
      return true;
    };
    Host& a1 = *new Host("s-000000a1", true,
                         handler);  // lives as long as its threads  // lives as long as its threads
    Host& a2 = *new Host("s-000000a2", false, handler);
    Host& a3 = *new Host("s-000000a3", false, handler);
    const std::vector<Member> members{
        {&a1, 1, "ready", "master"}, {&a2, 1, "ready", "replica"}, {&a3, 1, "ready", "replica"}};
    Agent& agent = *new Agent(members);
    write_file(run.folder + "/gateway.textproto", "shapes { postgres: true }\n");
    Config config;
    config.discovery = agent.address();
    config.known = list_json(1, true, members);
    Gateway gateway(run.folder, config, run.folder + "/gateway.textproto");
    if (!gateway.start())
      return kCouldNotRun;
    Load load(gateway.port(), 2, 20, 900, 2000, [](const std::string& id) {
      return select(id, "area-summary", 900);
    });
    sleep_ms(2000);
    Client client(gateway.port());
    int answered = 0;
    for (int i = 0; i < 40; ++i) {
      if (!client.is_open())
        return kCouldNotRun;
      const std::string id = new_id();
      const char* call = run.has_trouble ? "f.close_account" : "close_account(f)";
      const char* service_class = i % 2 == 0 ? "fault-status" : "area-summary";
      const std::string sql = std::string("SELECT ") + call +
                              " FROM facts f WHERE code = '7f3a9c21e0b4d655' /* id=" + id +
                              ",c=" + service_class + ",d=900,cluster=1 */";
      RECORD("client: sends %s", sql.c_str());
      const Answer answer = client.ask(sql, 3000);
      RECORD("client: %s", answer.text().c_str());
      answered += answer.kind != Answer::Kind::None && answer.kind != Answer::Kind::Closed ? 1 : 0;
      sleep_ms(50);
    }
    load.stop();
    const std::lock_guard<std::mutex> lock(mutex);
    int twice = 0;
    for (const auto& [id, times] : applied)
      twice += times > 1 ? 1 : 0;
    RECORD("usual clients: %s", load.summary().c_str());
    RECORD("of 40 statements that write, sent under reading classes, %zu came to a replica as a "
           "read and %d were applied twice",
           at_replicas.size(), twice);
    if (gateway.has_ended() || answered < 40)
      return kCouldNotRun;
    return twice > 0 || !at_replicas.empty() ? kBroken : kHeld;
  });
}

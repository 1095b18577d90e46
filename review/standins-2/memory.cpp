/// One client sends a statement of 64 KiB to a gateway with 32 MB that parses statements. The
/// platform kills a gateway that is over its memory.
#include "load.h"

using namespace standin;

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const Case& run) {
    const auto slow = [](Host& host, int fd, const std::string&) {
      sleep_ms(300);  // the work of a request
      return send_all(fd, row("value of " + host.name()) + host.note() + ready());
    };
    Host& a1 = *new Host("s-000000a1", true,
                         slow);  // lives as long as its threads  // lives as long as its threads
    Host& a2 = *new Host("s-000000a2", false, slow);
    const std::vector<Member> members{{&a1, 1, "ready", "master"}, {&a2, 1, "ready", "replica"}};
    Agent& agent = *new Agent(members);
    write_file(run.folder + "/gateway.textproto", "shapes { postgres: true }\n");
    Config config;
    config.discovery = agent.address();
    config.known = list_json(1, true, members);
    config.memory_mb = 32;
    config.sockets = 256;
    Gateway gateway(run.folder, config, run.folder + "/gateway.textproto");
    if (!gateway.start())
      return kCouldNotRun;
    // The platform: a gateway over its memory is killed.
    std::atomic<bool> is_over{false};
    std::atomic<bool> is_done{false};
    std::atomic<long> peak{0};
    std::thread platform([&] {
      while (!is_done) {
        const long kib = gateway.status_kib("VmHWM");
        peak = std::max(peak.load(), kib);
        if (kib > 32 * 1024 && !is_over.exchange(true)) {
          RECORD("platform: the gateway had %ld KiB, its limit is 32 MB (%d KiB): killed", kib,
                 32 * 1024);
          gateway.signal(SIGKILL);
        }
        sleep_ms(2);
      }
    });
    int lost = 0;
    std::size_t asked = 0;
    {
      Load load(gateway.port(), 6, 50, 900, 2000, [](const std::string& id) {
        return select(id, "area-summary", 900);
      });
      sleep_ms(3000);
      if (run.has_trouble) {
        Client other(gateway.port());
        std::string sum;
        while (sum.size() < 65200)
          sum += "a+";
        const std::string id = new_id();
        const std::string sql =
            "SELECT " + sum + "a FROM facts /* id=" + id + ",c=area-summary,d=900,cluster=1 */";
        RECORD("other client: sends one statement of %zu bytes, id=%s", sql.size(), id.c_str());
        const Answer answer = other.ask(sql, 3000);
        RECORD("other client: %s", answer.text().c_str());
      }
      sleep_ms(2000);
      load.stop();
      asked = load.requests().size();
      for (const Request& request : load.requests())
        lost +=
            request.answer.kind == Answer::Kind::Closed || request.answer.kind == Answer::Kind::None
                ? 1
                : 0;
      RECORD("clients: %s", load.summary().c_str());
    }
    is_done = true;
    platform.join();
    RECORD("the gateway's largest memory: %ld KiB; %d requests of the usual clients lost",
           peak.load(), lost);
    if (asked < 30 || peak == 0)
      return kCouldNotRun;
    return is_over ? kBroken : kHeld;
  });
}

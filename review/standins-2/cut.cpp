/// Clients that send many commands at once and read their answers slowly, while others stop in the
/// middle of a command.
#include "load.h"

using namespace standin;

namespace {

constexpr int kReaders = 4;
constexpr int kCommands = 300;
constexpr int kOthers = 160;
constexpr int kPartialSize = 20 * 1024;

}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const Case& run) {
    const auto handler = [](Host& host, int fd, const std::string&) {
      return send_all(fd, row(std::string(60'000, 'v')) + host.note() + ready());
    };
    Host& a1 = *new Host("s-000000a1", true, handler);  // lives as long as its threads
    Host& a2 = *new Host("s-000000a2", false, handler);
    const std::vector<Member> members{{&a1, 1, "ready", "master"}, {&a2, 1, "ready", "replica"}};
    Agent& agent = *new Agent(members);
    Config config;
    config.discovery = agent.address();
    config.known = list_json(1, true, members);
    config.memory_mb = 32;
    Gateway gateway(run.folder, config);
    if (!gateway.start())
      return kCouldNotRun;
    sleep_ms(500);
    std::vector<std::unique_ptr<Client>> readers;
    for (int i = 0; i < kReaders; ++i) {
      readers.push_back(
          std::make_unique<Client>(gateway.port(), connect_to(gateway.port(), 16 * 1024)));
      std::string commands;
      for (int command = 0; command < kCommands; ++command)
        commands += message('Q', zero(select(new_id(), "my-settings", 2400)));
      if (!readers.back()->is_open() || !send_all(readers.back()->fd(), commands))
        return kCouldNotRun;
    }
    RECORD("%d clients: each has sent %d commands at once, and reads nothing for 1.5 s", kReaders,
           kCommands);
    sleep_ms(750);
    std::vector<std::unique_ptr<Client>> others;
    if (run.has_trouble) {
      const std::string half = std::string("Q") + u32(100 * 1024) + std::string(kPartialSize, 'x');
      for (int i = 0; i < kOthers; ++i) {
        others.push_back(std::make_unique<Client>(gateway.port()));
        if (others.back()->is_open())
          send_all(others.back()->fd(), half);
      }
      RECORD("%d other clients: each has stopped after %d bytes of a command", kOthers,
             kPartialSize);
    }
    sleep_ms(750);
    int served = 0;
    int lost = 0;
    for (int i = 0; i < kReaders; ++i) {
      for (int command = 0; command < kCommands; ++command) {
        const Answer answer = readers[i]->read(now_ms() + 4000);
        if (answer.kind == Answer::Kind::Closed || answer.kind == Answer::Kind::None) {
          lost += kCommands - command;
          RECORD("client %d: %d commands answered, then %s", i, command, answer.text().c_str());
          break;
        }
        ++served;
      }
    }
    RECORD("%d commands answered, %d lost", served, lost);
    if (gateway.has_ended() || served == 0)
      return kCouldNotRun;
    return lost > 0 ? kBroken : kHeld;
  });
}

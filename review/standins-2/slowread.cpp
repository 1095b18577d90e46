/// A client sends 300 commands at once and reads its answers steadily, one value of 60 KB in 0.6 s.
#include "load.h"

using namespace standin;

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const Case& run) {
    constexpr int kCommands = 300;
    constexpr int kSlowAnswers = 15;  // the client takes its time for so many, that is 9 s
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
    Gateway gateway(run.folder, config);
    if (!gateway.start())
      return kCouldNotRun;
    sleep_ms(500);
    Client client(gateway.port(), connect_to(gateway.port(), 16 * 1024));
    std::string commands;
    for (int command = 0; command < kCommands; ++command)
      commands += message('Q', zero(select(new_id(), "my-settings", 2400)));
    if (!client.is_open() || !send_all(client.fd(), commands))
      return kCouldNotRun;
    RECORD("client: has sent %d commands at once", kCommands);
    int answered = 0;
    double longest = 0;
    double last_at = now_ms();
    while (answered < kCommands) {
      const Answer answer = client.read(now_ms() + 4000);
      if (answer.kind == Answer::Kind::Closed || answer.kind == Answer::Kind::None) {
        RECORD("client: after %d answers: %s", answered, answer.text().c_str());
        break;
      }
      ++answered;
      longest = std::max(longest, answer.at - last_at);
      last_at = answer.at;
      RECORD("client: answer %d: %s", answered, answer.text().c_str());
      if (run.has_trouble && answered <= kSlowAnswers)
        sleep_ms(600);
    }
    RECORD(
        "%d commands answered, no answer took longer than %.0f ms from the one before it, %d lost",
        answered, longest, kCommands - answered);
    if (gateway.has_ended() || answered == 0)
      return kCouldNotRun;
    return answered < kCommands ? kBroken : kHeld;
  });
}

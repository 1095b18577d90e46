/// A planned restart, while a client that keeps twenty commands under way reads its answers slowly.
#include "load.h"

#include <deque>

using namespace standin;

namespace {

constexpr int kUnderWay = 20;
constexpr int kValueSize = 60'000;

}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const Case& run) {
    const auto handler = [](Host& host, int fd, const std::string&) {
      return send_all(fd, row(std::string(kValueSize, 'v')) + host.note() + ready());
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
    if (!client.is_open())
      return kCouldNotRun;
    struct Sent {
      std::string id;
      double at;
    };
    std::deque<Sent> under_way;
    const auto send_one = [&] {
      under_way.push_back({new_id(), now_ms()});
      client.send(select(under_way.back().id, "my-settings", 2400));
    };
    for (int i = 0; i < kUnderWay; ++i)
      send_one();
    double terminated_at = 0;
    const double begun = now_ms();
    int answered = 0;
    int lost = 0;
    while (now_ms() - begun < 8000) {
      if (terminated_at == 0 && now_ms() - begun > 2000) {
        terminated_at = now_ms();
        if (run.has_trouble) {
          gateway.signal(SIGTERM);
          RECORD("platform: SIGTERM, for a planned restart");
        }
      }
      const Answer answer = client.read(now_ms() + 4000);
      if (answer.kind == Answer::Kind::Closed || answer.kind == Answer::Kind::None) {
        RECORD("client: %s", answer.text().c_str());
        for (const Sent& sent : under_way) {
          // A command that the close may have crossed is sent again.
          const bool may_have_crossed = sent.at > terminated_at - 100;
          RECORD("client: no whole answer to %s, sent %.0f ms before SIGTERM%s", sent.id.c_str(),
                 terminated_at - sent.at,
                 may_have_crossed ? "; it may have crossed the close" : ": lost");
          lost += may_have_crossed ? 0 : 1;
        }
        break;
      }
      RECORD("client: %s: %s", under_way.front().id.c_str(), answer.text().c_str());
      under_way.pop_front();
      ++answered;
      if (now_ms() - begun < 7000)
        send_one();
      sleep_ms(200);  // it takes so long to read one value
    }
    RECORD("%d commands answered, %d lost", answered, lost);
    if (answered < 5)
      return kCouldNotRun;
    return lost > 0 ? kBroken : kHeld;
  });
}

/// One data host of eight, a primary, begins to send its good answers a second time, right behind
/// them, and closes the connection before the copy is whole.
#include "load.h"

#include <set>

using namespace standin;

namespace {

/// One way between two buildings.
constexpr double kOneWayMs = 1;
/// How far behind the answer the copy begins. No byte of another request can have come by then:
/// what the gateway writes once it has the answer comes two ways behind it.
constexpr double kBehindMs = 0.3;

bool has_trouble = true;
std::atomic<int> copies{0};

std::mutex mutex;
std::set<std::string> run_ids;  ///< The ids of the requests that a host has run.

/// The key that a statement names.
std::string key_of(const std::string& sql) {
  const std::size_t begin = sql.find('\'') + 1;
  return sql.substr(begin, sql.find('\'', begin) - begin);
}

/// Answers as a sound host does, at the distance of kOneWayMs; the bad one sends more.
Host::Handler answer_at_distance(bool is_bad) {
  return [is_bad](Host& host, int fd, const std::string& sql) {
    sleep_ms(kOneWayMs);
    if (!host.is_primary() && sql.rfind("INSERT", 0) == 0)
      return false;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      run_ids.insert(comment_field(sql, "id"));
    }
    const std::string result = row("row of " + key_of(sql));
    sleep_ms(kOneWayMs);
    if (!send_all(fd, result + host.note() + ready()) || !is_bad || !has_trouble)
      return true;
    sleep_ms(kBehindMs);
    ++copies;
    send_all(fd, result);
    ::shutdown(fd, SHUT_WR);
    char dropped[4096];
    while (::recv(fd, dropped, sizeof dropped, 0) > 0) {
    }
    throw HangUp{};  // what came behind its close has not run
  };
}

struct Counts {
  int served = 0;
  int foreign = 0;      ///< Served with the row of another request.
  int lost_writes = 0;  ///< Writes that were confirmed and ran nowhere.
  std::map<std::string, int> answers;
};

}  // namespace

int main(int argc, char** argv) {
  return run_case(argc, argv, [](const Case& run) {
    has_trouble = run.has_trouble;
    std::vector<Member> members;
    for (int i = 0; i < 8; ++i) {
      const bool is_primary = i % 4 == 0;
      Host& host = *new Host("s-000000a" + std::to_string(i), is_primary,
                             answer_at_distance(i == 0));  // lives as long as its threads
      members.push_back({&host, i < 4 ? 1 : 2, "ready", is_primary ? "master" : "replica"});
    }
    Agent& agent = *new Agent(members);
    Config config;
    config.discovery = agent.address();
    config.known = list_json(1, true, members);
    Gateway gateway(run.folder, config);
    if (!gateway.start())
      return kCouldNotRun;
    sleep_ms(500);
    static Counts counts;
    static std::atomic<bool> is_done{false};
    const int port = gateway.port();
    std::vector<std::thread> clients;
    for (int i = 0; i < 24; ++i)
      clients.emplace_back([port, i] {
        std::unique_ptr<Client> client;
        for (int request = 0; !is_done; ++request) {
          if (!client || !client->is_open())
            client = std::make_unique<Client>(port);
          const std::string id = new_id();
          const std::string key = new_id();
          const int cluster = 1 + i % 2;
          const bool is_write = request % 4 == 0;
          const std::string sql =
              is_write ? insert(id, "reading-save", 2900, cluster, key)
                       : select(id, request % 4 == 1 ? "fault-status" : "area-summary", 900,
                                cluster, key);
          const Answer answer = client->ask(sql, 4000);
          sleep_ms(10);
          const std::lock_guard<std::mutex> lock(mutex);
          ++counts.answers[answer.text().substr(0, answer.text().find(','))];
          if (answer.kind != Answer::Kind::Served)
            continue;
          ++counts.served;
          const bool has_run = run_ids.count(id) > 0;
          if (answer.value != "row of " + key) {
            ++counts.foreign;
            RECORD("client: request %s (%s) named the row of %s and was served \"%s\"; it has %s",
                   id.c_str(), is_write ? "a write" : "a read", key.c_str(), answer.value.c_str(),
                   has_run ? "run" : "run nowhere");
          }
          if (is_write && !has_run)
            ++counts.lost_writes;
        }
      });
    const double begun = now_ms();
    while (now_ms() - begun < 20'000) {
      sleep_ms(100);
      const std::lock_guard<std::mutex> lock(mutex);
      if (counts.foreign >= 20)
        break;
    }
    is_done = true;
    for (std::thread& client : clients)
      client.join();
    for (const auto& [kind, count] : counts.answers)
      RECORD("clients: %s %d", kind.c_str(), count);
    RECORD("%d requests served, %d copies begun; %d were served another request's row, %d writes "
           "were confirmed that ran nowhere",
           counts.served, copies.load(), counts.foreign, counts.lost_writes);
    if (gateway.has_ended() || counts.served < 100)
      return kCouldNotRun;
    return counts.foreign > 0 || counts.lost_writes > 0 ? kBroken : kHeld;
  });
}

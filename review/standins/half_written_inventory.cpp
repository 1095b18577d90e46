// Case: an inventory is read while half of it is written.
#include "cases.h"
#include "rig.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>

namespace rig {
namespace {

struct Member {
  std::string name;
  int group = 0;
  bool is_primary = false;
  std::unique_ptr<Host> host;
};

}  // namespace

/// Without `waits_for_removal` only the time of the rewrite is looked at, and what counts is that a
/// request is sent to a host of another group. With it, the new host is taken out of service later,
/// and what counts is that a request gets no final answer.
int half_written_inventory(bool waits_for_removal) {
  std::map<int, std::shared_ptr<GroupLog>> logs;
  std::vector<Member> members;
  const auto add = [&](const std::string& name, int group, bool is_primary) {
    if (!logs[group])
      logs[group] = std::make_shared<GroupLog>();
    members.push_back(
        {name, group, is_primary, std::make_unique<Host>(name, group, logs[group], is_primary)});
  };
  for (const int group : {1, 11, 12})
    for (int i = 1; i <= 3; ++i)
      add("db" + std::to_string(group) + "-" + std::to_string(i), group, i == 1);
  add("db11-4", 11, false);
  const auto later = std::make_unique<Host>("db12-4", 12, logs[12], false);
  for (auto& [group, log] : logs)
    log->commit("7f3a9c21e0b4d655", "value of group " + std::to_string(group));

  std::atomic<int> foreign{0};
  const std::string foreign_mark = waits_for_removal ? "seen beside the rule: " : "RULE BROKEN: ";
  const std::string lost_mark = waits_for_removal ? "RULE BROKEN: " : "seen beside the rule: ";
  for (Member& member : members) {
    Host* const host = member.host.get();
    host->before = [host, &foreign, &foreign_mark](const std::string& statement) {
      const Fields fields = comment_fields(statement);
      if (fields.get("cluster") != std::to_string(host->group()) && ++foreign <= 20)
        record(foreign_mark + host->name() + " of group " + std::to_string(host->group()) +
               " got: " + statement);
      return true;
    };
  }

  // The columns of deploy/members.csv, which may stand in any order; the group is the last here.
  const std::string header = "name,address,zone,role,group\n";
  const auto line = [](const Member& member) {
    return member.name + "," + member.host->address() + ",a," +
           (member.is_primary ? "primary" : "replica") + "," + std::to_string(member.group) + "\n";
  };
  const auto rows_of = [&](int group, const std::string& except = "") {
    std::string text;
    for (const Member& member : members)
      if (member.group == group && member.name != except)
        text += line(member);
    return text;
  };
  const std::string before = header + rows_of(1) + rows_of(11, "db11-4") + rows_of(12);
  std::string rewritten = header + rows_of(1) + rows_of(11);
  const std::size_t cut = rewritten.size() - 2;  // within the number of the last row of group 11
  rewritten += rows_of(12);
  if (rewritten.size() < 2 * cut)
    rewritten += "#" + std::string(2 * cut - rewritten.size() - 2, '-') + "\n";

  const std::string folder = temporary_folder();
  const std::string inventory = folder + "/members.csv";
  write_file(inventory, before);
  write_file(folder + "/gateway.textproto", "postgres { inventory: \"members.csv\" }\n");
  Gateway gateway({}, "127.0.0.1:" + std::to_string(free_port()), {},
                  folder + "/gateway.textproto");
  if (!gateway.start() || !gateway.wait_ready(10000)) {
    std::cerr << gateway.log_text();
    return 2;
  }

  std::atomic<bool> stopped{false};
  std::atomic<int> lost{0};
  std::atomic<int> wrong{0};
  std::atomic<int> counts[5] = {};
  const auto ask = [&](Client& client, int group) {
    const std::string id = new_id();
    const std::string statement =
        read_statement("area-summary", 1000, group, "7f3a9c21e0b4d655", id);
    // A final answer is due by the deadline; half a second later the request is lost.
    const Answer answer = client.query(statement, 1500);
    ++counts[static_cast<int>(answer.outcome)];
    if (answer.outcome == Outcome::NoAnswer || answer.outcome == Outcome::Closed) {
      if (++lost <= 20)
        record(lost_mark + "request " + id + " of group " + std::to_string(group) + ": " +
               name_of(answer.outcome) + " after " +
               std::to_string(static_cast<int>(unix_ms() - answer.sent_ms)) + " ms");
      client.close();
    }
    if (answer.outcome == Outcome::Served &&
        answer.value != "value of group " + std::to_string(group) && ++wrong <= 20)
      record(foreign_mark + "the client of request " + id + " of group " + std::to_string(group) +
             " was served '" + answer.value + "'");
  };
  const auto run_clients = [&](double duration_ms) {
    stopped = false;
    std::vector<std::thread> threads;
    for (int i = 0; i < 6; ++i)
      threads.emplace_back([&, i] {
        std::unique_ptr<Client> client;
        for (int n = 0; !stopped; ++n) {
          if (!client || !client->is_open())
            client = std::make_unique<Client>(gateway.port());
          if (client->is_open())
            ask(*client, i % 2 == 0 ? 1 : 11);
          sleep_ms(15);
        }
      });
    sleep_ms(duration_ms);
    stopped = true;
    for (std::thread& thread : threads)
      thread.join();
  };

  std::thread operations([&] {
    sleep_ms(2000);
    if (without_trouble()) {
      record("inventory rewritten, SIGHUP");
      write_file(inventory, rewritten);
      gateway.signal(SIGHUP);
      sleep_ms(2000);
      record("SIGHUP");
      gateway.signal(SIGHUP);
      return;
    }
    std::ofstream file(inventory, std::ios::binary | std::ios::trunc);
    file << rewritten.substr(0, cut) << std::flush;
    record("half of the inventory written (" + std::to_string(cut) + " of " +
           std::to_string(rewritten.size()) + " bytes), SIGHUP; its end: '" +
           rewritten.substr(cut - 34, 34) + "'");
    gateway.signal(SIGHUP);
    sleep_ms(2000);
    file << rewritten.substr(cut) << std::flush;
    file.close();
    record("inventory written to its end, SIGHUP");
    gateway.signal(SIGHUP);
  });
  run_clients(6000);
  operations.join();

  if (waits_for_removal) {
    record("db11-4 taken out of the inventory, SIGHUP");
    write_file(inventory, before);
    gateway.signal(SIGHUP);
    run_clients(2000);
    sleep_ms(61000);
    record("db12-4 added to the inventory, SIGHUP");
    write_file(inventory, before + "db12-4," + later->address() + ",a,replica,12\n");
    gateway.signal(SIGHUP);
    sleep_ms(500);
    run_clients(5000);
  }

  const bool runs = gateway.is_running();
  if (!runs)
    record(lost_mark + "the gateway has ended");
  std::string summary = "requests:";
  for (int i = 0; i < 5; ++i)
    summary +=
        std::string(" ") + name_of(static_cast<Outcome>(i)) + " " + std::to_string(counts[i]) + ",";
  record(summary + " at a host of another group " + std::to_string(foreign) +
         ", served with another group's value " + std::to_string(wrong) + ", lost " +
         std::to_string(lost));
  std::cout << summary << " foreign " << foreign << ", wrong values " << wrong << ", lost " << lost
            << '\n';
  if (std::getenv("RIG_LOG"))
    std::cout << gateway.log_text();
  gateway.stop();
  if (waits_for_removal)
    return lost > 0 || !runs ? 1 : 0;
  return foreign > 0 || wrong > 0 ? 1 : 0;
}

}  // namespace rig

// Configuration and inventories: what is fine is taken; what is not ends the program before it
// listens, with one message that names file, line and field. And discovery's watch, from a stand-in
// agent.
#include "check_macro.h"
#include "test_harness.h"

#include "inventory/inventory.h"
#include "postgres/upstream_protocol.h"
#include "settings/json_object_reader.h"

#include <csignal>
#include <cstring>
#include <fstream>
#include <iterator>

using namespace test_harness;
using namespace std::chrono_literals;

namespace {

std::string write(const std::string& folder, const std::string& name, const std::string& text) {
  std::ofstream(folder + "/" + name) << text;
  return folder + "/" + name;
}

void inventories() {
  const std::string folder = make_temporary_folder();
  const auto csv = gorsebeam::inventory::read(
      write(folder, "a.csv",
            "# kept by the tools\r\nname,group,address,zone,role,state,size,started\r\n"
            "\"db,1\",3,127.0.0.1:27017,a,primary,up,2.5,1767225600\r\n\r\ndb2,3,127.0.0.1:27018,b,"
            ",draining,"
            ",\r\n"));
  CHECK(csv_result.has_value());
  const auto& csv = csv_result.value();
  CHECK(csv.size() == 2 && csv[0].name == "db,1" && csv[0].endpoint.group == 3 &&
        csv[0].endpoint.listed_as_primary);
  CHECK(csv[0].endpoint.weight == 2.5 &&
        csv[0].endpoint.started_at == 1767225600LL * 1'000'000'000);
  CHECK(csv[1].endpoint.status == gorsebeam::EndpointStatus::Draining &&
        !csv[1].endpoint.listed_as_primary);
  const auto yaml_result = gorsebeam::inventory::read_inventory(write(
      folder, "a.yaml",
      "all:\n  vars: {zone: a, ansible_user: ops}\n  children:\n    group_three:\n      vars: "
      "{group: 3}\n"
      "      hosts:\n        db1: {ansible_host: 127.0.0.1, ansible_port: 27017, role: primary}\n"
      "        db2: {address: '127.0.0.1:27018', zone: b}\n"));
  CHECK(yaml_result.has_value());
  const auto& yaml = yaml_result.value();
  CHECK(yaml.size() == 2 && yaml[0].address == "127.0.0.1:27017" && yaml[0].endpoint.zone == "a");
  CHECK(yaml[1].endpoint.zone == "b" && yaml[1].endpoint.group == 3 &&
        yaml[0].endpoint.listed_as_primary);

  const struct {
    const char *name, *text, *place, *field;
  } bad[] = {
      {"b1.csv", "name,address,group\ndb1,127.0.0.1:1,0\ndb1,127.0.0.1:2,0\n", "line 3", "'name'"},
      {"b2.csv", "name,address,group\ndb1,db1.example:27017,0\n", "line 2", "'address'"},
      {"b3.csv", "name,address,group\ndb1,127.0.0.1:1,x\n", "line 2", "'group'"},
      {"b4.csv", "name,address,colour\n", "line 1", "'colour'"},
      {"b5.csv", "name,address,group\ndb1,127.0.0.1:1\n", "line 2", "'address'"},
      {"b6.csv", "name,address,group\n\ndb1,\"127.0.0.1:1,0\n", "line 3", "'name'"},
      {"b7.yaml", "all:\n  hosts:\n    db1: {address: '127.0.0.1:1', group: 0, role: king}\n",
       "line 3", "'role'"},
      {"b8.yaml", "all:\n  hosts:\n    db1: {group: 0}\n", "line 3", "'address'"},
      {"b9.yaml", "all:\n  hosts: [\n", "line 3", "'yaml'"},
      {"b10.yaml", "all:\n  machines: {}\n", "line 2", "'machines'"},
  };

  const std::string config = write_platform_config(folder, "127.0.0.1:9");
  for (const auto& b : bad) {
    write(folder, b.name, b.text);
    const std::string file =
        write(folder, "gateway.textproto",
              std::string("mongo { listen: '127.0.0.1:0' inventory: '") + b.name + "' }\n");
    std::string output;
    CHECK(run_program({"serve", "--config", config, "--file", file}, output) == 1);
    const bool told = output.find(b.name) != std::string::npos &&
                      output.find(b.place) != std::string::npos &&
                      output.find(b.field) != std::string::npos &&
                      output.find('\n') == output.size() - 1;  // one message
    if (!told)
      std::fprintf(stderr, "%s: %s", b.name, output.c_str());
    CHECK(told);
  }
}

void configurations() {
  const std::string folder = make_temporary_folder(),
                    config = write_platform_config(folder, "127.0.0.1:9");
  std::string output;
  CHECK(run_program({"version"}, output) == 0);
  CHECK(run_program({"check", "--config", config}, output) == 0);

  const struct {
    const char *text, *place, *field;
  } bad[] = {{"contracts {\n  team {\n    name: 'portal'\n    class { name: 'nothing' }\n  }\n}\n",
              "line 4", "'name'"},
             {"contracts { team { name: 'portal'\n budget { per_second: plenty }\n class { name: "
              "'any' } } }\n",
              "line 2", "plenty"},
             {"contracts { team { name: 'portal'\n budget {\n per_second: -1 }\n class { name: "
              "'any' } } }\n",
              "line 3", "'per_second'"},
             {"contracts { team { name: 'portal'\n class { name: 'any'\n tries: 1.5 } } }\n",
              "line 3", "1.5"},
             {"mongo { listen: 'everywhere'\n inventory: 'a.csv' }\n", "line 1", "'listen'"},
             {"contracts {\n team { name: 'portal' } }\n", "line 2", "'team'"},
             {"contracts {\n team { name: 'p' class { name: 'any' } }\n team { name: 'p' class { "
              "name: 'any' } } "
              "}\n",
              "line 3", "'name'"},
             {"members {\n postgres { name: 'a' address: '127.0.0.1:1' }\n postgres { name: 'b' "
              "address: 'b:1' } "
              "}\n",
              "line 3", "'address'"},
             {"members { postgres { name: 'a' address: '127.0.0.1:1' group: 3 } }\ncontracts { "
              "team { name: 'p'\n"
              "class { name: 'any' }\n group: 3\n group: 9 } }\n",
              "line 5", "'group'"},
             {"mongo { listen: '127.0.0.1:0' }\n", "line 1", "'members'"},
             {"control_service {\n address: '127.0.0.1:1' }\n", "line 1", "'node'"},
             {"state_folder: 'here'\n", "line 1", "'state_folder'"},
             {"limits {\n message_kib: 1 }\n", "line 2", "'message_kib'"},
             {"moongo {}\n", "line 1", "'moongo'"}};

  for (const auto& b : bad) {
    const std::string file = write(folder, "gateway.textproto", b.text);
    CHECK(run_program({"check", "--config", config, "--file", file}, output) == 1);
    if (output.find(b.place) == std::string::npos || output.find(b.field) == std::string::npos)
      std::fprintf(stderr, "%s", output.c_str());
    CHECK(output.find("gateway.textproto: " + std::string(b.place)) != std::string::npos);
    CHECK(output.find(b.field) != std::string::npos);
  }
  CHECK(
      run_program({"check", "--config", write(folder, "c.json", "{\"name\":\"n0\",\n\"listen\":")},
                  output) == 1);
  CHECK(output.find("c.json: line 2") != std::string::npos);
  CHECK(run_program(
            {"check", "--config", write(folder, "d.json", "{\"name\":\"n0\",\n\"listen\":7}")},
            output) == 1);
  CHECK(output.find("d.json: line 2: ") != std::string::npos &&
        output.find("'listen'") != std::string::npos);
  // Settings out of their range: each ends the start with one message, before anything is made of
  // them.
  std::ifstream good(config);
  const std::string text{std::istreambuf_iterator<char>(good), {}};

  const struct {
    const char *from, *to, *field;
  } settings[] = {
      {"\"aim\":2000000000", "\"aim\":0", "'aim'"},
      {"\"give_up\":3000000000", "\"give_up\":1000000000", "'give_up'"},
      {"\"window\":2000000000", "\"window\":-1", "'window'"},
      {"\"worth\":1", "\"worth\":-1", "'worth'"},
      {"\"lag_allowed\":[0", "\"lag_allowed\":[-5", "'lag_allowed'"},
      {"\"send_cap\":6", "\"send_cap\":0", "'send_cap'"},
      {"\"dial_timeout\":250000000", "\"dial_timeout\":9223372036854775807", "'dial_timeout'"},
      {"\"cold_from\":0.5", "\"cold_from\":1.5", "'cold_from'"},
      {"\"tick\":1000000", "\"tick\":-1", "'tick'"},
      {"\"tick\":1000000", "\"tick\":1,\"balancers\":0", "'balancers'"},
      {"\"sockets\":400", "\"sockets\":20", "'sockets'"},
      {"\"memory_mb\":192", "\"memory_mb\":-1", "'memory_mb'"}};

  for (const auto& b : settings) {
    std::string bad = text;
    const std::size_t at = bad.find(b.from);
    CHECK(at != std::string::npos);
    bad.replace(at, std::strlen(b.from), b.to);
    CHECK(run_program({"serve", "--config", write(folder, "e.json", bad)}, output) == 1);
    if (output.find(b.field) == std::string::npos)
      std::fprintf(stderr, "%s: %s", b.field, output.c_str());
    CHECK(output.find("e.json: line 1: ") != std::string::npos &&
          output.find(b.field) != std::string::npos);
    CHECK(output.find('\n') == output.size() - 1);
  }
}

// What can never become an answer is known as such from what has come, not when the waiting is
// over; a report that cannot be read is ignored whole.
void answers() {
  using gorsebeam::connection_pool::ParseStep;
  const auto read = [](const std::string& bytes, gorsebeam::proxy::UpstreamResponse& answer) {
    std::size_t used = 0;
    return gorsebeam::postgres::make_wire()->answer(bytes, false, false, answer, used);
  };
  gorsebeam::proxy::UpstreamResponse answer;
  const std::string good = postgres().encode_response(ScriptedResponse::Succeed, {true}, "value");
  CHECK(read(good, answer) == ParseStep::Done && answer.replication_position);
  CHECK(read(good.substr(0, 45), answer) == ParseStep::More);
  CHECK(read(std::string("x\0\0\1\0noise", 10), answer) == ParseStep::Broken);
  std::string misfit = good.substr(0, 45);  // the row is longer than its column
  const std::size_t row = misfit.find(std::string("D\0", 2));
  misfit[row + 3] = '\7';
  CHECK(read(misfit, answer) == ParseStep::Broken);
  CHECK(read(postgres().encode_response(ScriptedResponse::MalformedReport, {true}, "value"),
             answer) == ParseStep::Done);
  CHECK(!answer.load_report.replication_position && !answer.load_report.is_primary &&
        !answer.replication_position);
}

// The commands for files: what is the same in meaning is no difference, and the formatter changes
// none.
void commands() {
  const std::string folder = make_temporary_folder();
  const std::string old = write(
      folder, "old.textproto",
      "# kept\ncontracts: < team { name: 'a' group: [2, 1] class { name: 'x' } class { name: "
      "'y'; tries: 3 } budget { per_second: 300 } },\n team { name: 'b' class { name: 'x' } } >");
  std::string output;
  CHECK(run_program({"config", "check", old}, output) == 0);
  const auto fmt = [&](const std::string& path) {
    CHECK(run_program({"config", "fmt", path}, output) == 0);
    return output;
  };
  const std::string once = fmt(old), copy = write(folder, "copy.textproto", once);
  CHECK(once.find("# kept\n") == 0 &&
        once.find("    budget {\n      per_second: 300\n    }\n") != std::string::npos);
  CHECK(fmt(copy) == once);
  CHECK(run_program({"config", "diff", old, copy}, output) == 0 && output.empty());
  const std::string turned = write(folder, "turned.textproto",
                                   "contracts { team { name: 'b' class { name: 'x' } } team { "
                                   "name: 'a' class { name: 'y' tries: 4 "
                                   "} class { name: "
                                   "'x' } group: 1 group: 2 budget { per_second: 200 } } team { "
                                   "name: 'c' class { name: 'x' } } }");
  CHECK(run_program({"config", "diff", old, turned}, output) == 1);
  CHECK(output == "contracts team 'a'.budget.per_second: 300 -> 200\n"
                  "contracts team 'a' class 'y'.tries: 3 -> 4\n"
                  "contracts team 'c': added\n");
  CHECK(run_program({"config", "diff", old, folder + "/none"}, output) == 2);
  CHECK(run_program({"config", "show", "--state", folder}, output) == 2);
}

}  // namespace

int main(int, char** arguments) {
  const std::string name = arguments[1];
  name == "commands"      ? commands()
  : name == "inventories" ? inventories()
  : name == "answers"     ? answers()
                          : configurations();
  std::printf("%s: fine\n", arguments[1]);
}

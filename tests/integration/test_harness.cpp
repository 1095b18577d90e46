#include "test_harness.h"

#include "net/timer.h"

#include <glib-unix.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace test_harness {

using gorsebeam::net::Listener;
using gorsebeam::net::SocketHandle;
using gorsebeam::net::Stream;

namespace {
Stage* on_stage = nullptr;  // whose program must not outlive a story that fails

void clear_stage() {
  if (!on_stage)
    return;
  on_stage->signal(SIGKILL);
  std::fprintf(stderr, "the program's log:\n%s", on_stage->log.c_str());
}
}  // namespace

void until(const std::function<bool()>& condition, const char* what) {
  const gint64 end = g_get_monotonic_time() + 20 * G_USEC_PER_SEC;
  gorsebeam::net::Timer tick([&tick] {
    tick.after(5'000'000);
  });
  tick.after(5'000'000);
  while (!condition()) {
    if (g_get_monotonic_time() > end) {
      std::fprintf(stderr, "waited too long for: %s\n", what);
      std::exit(1);
    }
    g_main_context_iteration(nullptr, TRUE);
  }
}

void pass(int ms) {
  const gint64 end = g_get_monotonic_time() + ms * 1000;
  until(
      [end] {
        return g_get_monotonic_time() >= end;
      },
      "time to pass");
}

// ---- members

struct Member::Link : Stream::Events {
  Link(Member& member, SocketHandle socket)
      : member(member), stream(Stream::adopt(std::move(socket), *this)) {}

  Member& member;
  std::shared_ptr<Stream> stream;
  std::string input, greeting;  // greeting: held
  bool greeted = false;
  std::size_t attempt = 0;  // 1 + its place among the stage's; 0: none out
  gint64 used_at = g_get_monotonic_time();

  void received() override {
    Stage& stage = member.stage_;
    const gint64 rested = g_get_monotonic_time() - std::exchange(used_at, g_get_monotonic_time());
    if (member.forgets_ms && rested >= member.forgets_ms * 1000) {
      ++member.forgotten;
      return stream->close();
    }
    input.append(stream->input().view());
    stream->input().consume(stream->input().size());
    for (;;) {
      std::optional<Ask> ask;
      std::string reply;
      if (!stage.protocol.member_message(input, member.standing, ask, reply))
        return;
      if (ask)
        reply = serve(*ask);
      member.probes += !ask && greeted;
      if (!std::exchange(greeted, true) && member.holds_greetings)
        greeting = std::exchange(reply, "");
      if (!stream->open())
        return;
      if (!reply.empty())
        stream->write({reply});
      used_at = g_get_monotonic_time();
    }
  }

  std::string serve(const Ask& ask) {
    Stage& stage = member.stage_;
    ++member.requests;
    for (const Stage::Attempt& a : stage.attempts)
      CHECK(a.ask.id != ask.id || !a.out);  // never two at once
    stage.attempts.push_back({ask, &member, true, false});
    attempt = stage.attempts.size();
    Fault fault = Fault::Serve;
    if (ask.write && !member.standing.primary)
      fault = Fault::Miss;  // no write is taken but by the primary, whatever the script says
    else if (!stage.script.empty())
      fault = stage.script.front(), stage.script.pop_front();
    stage.attempts.back().may_have_run = fault != Fault::Miss && fault != Fault::Full;
    if (fault == Fault::Silent)
      return "";
    over();
    if (fault == Fault::Reset)
      return stream->close(), "";
    std::string value = "by " + member.name;
    value.resize(std::max(value.size(), member.value_bytes), '.');
    return stage.protocol.member_answer(fault, member.standing, value);
  }

  void over() {
    if (attempt)
      member.stage_.attempts[attempt - 1].out = false;
    attempt = 0;
  }

  void ended(const std::string&) override { over(); }
};

Member::Member(Stage& stage, std::string name, bool listed_primary, bool primary)
    : name(std::move(name)), listed_primary(listed_primary), standing{primary}, stage_(stage),
      listener_([this](SocketHandle socket) {
        accept(std::move(socket));
      }) {
  CHECK(!listener_.listen("127.0.0.1:0"));
  address = listener_.address();
}

void Member::accept(SocketHandle socket) {
  links_.push_back(std::make_shared<Link>(*this, std::move(socket)));
}

int Member::connections() const {
  int open = 0;
  for (const auto& link : links_)
    open += link->stream->open();
  return open;
}

std::size_t Member::greetings_held() const {
  std::size_t held = 0;
  for (const auto& link : links_)
    held += link->stream->open() && !link->greeting.empty();
  return held;
}

void Member::give_greetings() {
  holds_greetings = false;
  for (const auto& link : links_)
    if (link->stream->open() && !link->greeting.empty())
      link->stream->write({std::exchange(link->greeting, "")});
}

void Member::say(const std::string& bytes) {
  for (const auto& link : links_)
    if (link->stream->open())
      link->stream->write({bytes});
}

void Member::drop_connections() {
  for (const auto& link : links_)
    link->stream->close(), link->over();
}

void Member::die() {
  listener_.close();
  drop_connections();
}

// ---- clients

Client::Client(Stage& stage, const std::string& address)
    : stage_(stage), stream_(Stream::connect(address, *this)) {}

void Client::received() {
  input.append(stream_->input().view());
  stream_->input().consume(stream_->input().size());
  while (const auto final = stage_.protocol.client_answer(input, value)) {
    answers.push_back(*final);
    ++stage_.answered;
  }
}

void Client::ask(const Ask& ask) {
  ++stage_.asked[ask.id];
  write(stage_.protocol.client_ask(ask));
}

Final Client::answer() {
  until(
      [this] {
        return !answers.empty();
      },
      "an answer");
  const Final final = answers.front();
  answers.pop_front();
  return final;
}

// ---- discovery's agent

Agent::Agent()
    : listener([this](SocketHandle socket) {
        asked.clear();
        ++calls;
        fd_ = g_socket_get_fd(socket.get());
        stream = Stream::adopt(std::move(socket), *this);
      }) {
  CHECK(!listener.listen("127.0.0.1:0"));
}

void Agent::received() {
  asked.append(stream->input().view());
  stream->input().consume(stream->input().size());
}

void Agent::send(const std::string& line) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size());
  stream->write({size, line, "\r\n"});
}

std::string Agent::text(const Stage& stage, int revision) {
  std::string text =
      "{\"revision\":" + std::to_string(revision) + ",\"complete\":true,\"members\":[";
  for (const auto& m : stage.members)
    text += std::string(m == stage.members[0] ? "" : ",") + "{\"id\":\"s-0000000" + m->name.back() +
            "\",\"host_port\":\"" + m->address + "\",\"locality\":\"a\",\"cell\":0,\"phase\":\"" +
            (m->state == "up" ? "ready" : m->state) +
            "\",\"size\":1.0,\"up_since_ms\":0,\"part\":\"" +
            (m->listed_primary ? "master" : "replica") + "\"}";
  return text + "]}\n";
}

void Agent::list(const Stage& stage, int revision) {
  const std::string line = text(stage, revision);
  send(line.substr(0, 40));  // a line may come in pieces
  send(line.substr(40));
}

void Agent::call() {
  until(
      [this] {
        return asked.find("\r\n\r\n") != std::string::npos;
      },
      "the watch");
}

void Agent::welcome() {
  call();
  stream->write({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"});
}

void Agent::reset() {
  const linger at_once{1, 0};
  CHECK(setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once) == 0);
  stream->close();
}

// ---- the stage

std::string temporary_folder() {
  char name[] = "/tmp/gorsebeam-story-XXXXXX";
  CHECK(mkdtemp(name));
  return name;
}

std::string write_config(const std::string& folder, const std::string& discovery,
                         const Site& site) {
  const std::string path = folder + "/config.json";
  const auto service = [&site](const char* name, const char* effect) {
    return std::string(R"({"name":")") + name + R"(","aim":)" + std::to_string(site.aim_ms) +
           R"(000000,"give_up":)" + std::to_string(site.aim_ms + 1000) + R"(000000,"effect":")" +
           effect + R"(","group":"cell","window":)" + std::to_string(site.window_ms) +
           R"(000000,"worth":1,"late_worth":0})";
  };
  std::ofstream(path)
      << R"({"name":"n0","listen":")" << site.listen << R"(","discovery":")" << discovery
      << R"(","seed":"8c1f","limits":{"cores":1.0,"memory_mb":192,"sockets":400},)"
      << R"("known":{"revision":0,"complete":true,"members":[]},"settings":{"classes":[)"
      << service("any", "free") << ',' << service("session", "free") << ','
      << service("save", "guarded") << ',' << service("once", "single_shot")
      << R"(],"extra":{"read_level":["eventual","causal","mutate","mutate"],"lag_allowed":[0,0,0,0],)"
      << R"("list_role":"static","token_mode":"kept","checks":"none","positions":true,"zero":0},)"
      << R"("limits":{"probes":true,"send_cap":6,"dial_timeout":)" << site.dial_ms
      << R"(000000,"keepalive":30000000000,)"
      << R"("retry_after":true,"max_retry_after":2000000000},"obligations":{"cold_from":0.5,)"
      << R"("drain_grace":250000000},"report":{"via":"answers","fields":["x0","x1"]},"tick":1000000}})";
  return path;
}

Stage::Stage(const Protocol& protocol, std::size_t count, std::size_t primary,
             const std::string& more)
    : protocol(protocol), folder_(temporary_folder()) {
  for (std::size_t i = 0; i < count; ++i)
    members.push_back(
        std::make_unique<Member>(*this, "m" + std::to_string(i), i == 0, i == primary));
  write_file(more);
  write_config(folder_, "127.0.0.1:9");
  write_inventory();
}

void Stage::write_file(const std::string& more) {
  const bool second = &protocol == &mongo();
  std::ofstream(folder_ + "/gateway.textproto")
      << (second ? "mongo { listen: '" + listen + ":0' inventory: 'members.csv' }\n"
                 : "postgres { inventory: 'members.csv' }\n")
      << more;
}

void Stage::write_inventory() {
  {
    std::ofstream file(folder_ + "/members.csv");
    file << "name,address,group,role,state\n";
    for (const auto& m : members)
      if (m->state != "gone")
        file << m->name << ',' << m->address << ",0," << (m->listed_primary ? "primary" : "replica")
             << ',' << m->state << '\n';
  }
  if (!pid_)
    return;
  take_log();
  const std::size_t before = log.size();
  signal(SIGHUP);
  until(
      [&] {
        return take_log(), log.find("reload_complete", before) != std::string::npos;
      },
      "the inventory");
}

void Stage::set_site(const Site& site) {
  site_ = site;
  write_config(folder_, "127.0.0.1:9", site_);
}

void Stage::use_discovery(const std::string& agent) {
  std::ofstream(folder_ + "/gateway.textproto") << "";
  write_config(folder_, agent, site_);
}

void Stage::reload(const std::string& agent, const std::string& told) {
  write_config(folder_, agent, site_);
  take_log();
  const std::size_t before = log.size();
  signal(SIGHUP);
  until(
      [&] {
        return take_log(), log.find(told, before) != std::string::npos;
      },
      "the files to be read again");
}

void Stage::start() {
  CHECK(!pid_ || exited_);
  if (log_fd_ >= 0)
    close(log_fd_);
  log.clear(), exited_ = false;
  const std::string config = folder_ + "/config.json", file = folder_ + "/gateway.textproto";
  const char* arguments[] = {GORSEBEAM_PROGRAM, "serve",      "--config", config.c_str(),
                             "--file",          file.c_str(), nullptr};
  CHECK(g_spawn_async_with_pipes(
      nullptr, const_cast<gchar**>(arguments), nullptr,
      static_cast<GSpawnFlags>(G_SPAWN_DO_NOT_REAP_CHILD | G_SPAWN_STDOUT_TO_DEV_NULL), nullptr,
      nullptr, &pid_, nullptr, nullptr, &log_fd_, nullptr));
  if (!std::exchange(on_stage, this))
    std::atexit(clear_stage);
  g_unix_set_fd_nonblocking(log_fd_, TRUE, nullptr);
  g_child_watch_add(
      pid_,
      [](GPid, gint status, gpointer self) {
        static_cast<Stage*>(self)->status_ = status;
        static_cast<Stage*>(self)->exited_ = true;
      },
      this);
  const std::string mark =
      &protocol == &mongo() ? "protocol=MongoDB address=" : "protocol=PostgreSQL address=";
  until(
      [&] {
        return take_log(), exited_ || log.find(mark) != std::string::npos;
      },
      "the program to listen");
  if (exited_)
    std::fprintf(stderr, "%s", log.c_str());
  CHECK(!exited_);
  take_address();
}

void Stage::take_address() {
  const std::string mark =
      &protocol == &mongo() ? "protocol=MongoDB address=" : "protocol=PostgreSQL address=";
  const std::size_t at = log.rfind(mark) + mark.size();
  address_ = log.substr(at, log.find('\n', at) - at);
}

void Stage::await_log(const std::string& text, std::size_t from) {
  until(
      [&] {
        return take_log(), log.find(text, from) != std::string::npos;
      },
      text.c_str());
}

void Stage::take_log() {
  char buffer[4096];
  for (ssize_t got; (got = ::read(log_fd_, buffer, sizeof buffer)) > 0;)
    log.append(buffer, static_cast<std::size_t>(got));
}

std::unique_ptr<Client> Stage::stranger() {
  return std::make_unique<Client>(*this, address_);
}

std::unique_ptr<Client> Stage::client() {
  auto client = stranger();
  client->write(protocol.client_hello());
  return client;
}

void Stage::signal(int number) {
  take_log();
  if (!exited_)
    kill(pid_, number);
}

void Stage::freeze() {
  signal(SIGSTOP);
  until(
      [this] {
        std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
        const std::string text{std::istreambuf_iterator<char>(stat), {}};
        const std::size_t name = text.rfind(") ");
        return name != std::string::npos && text.compare(name + 2, 1, "T") == 0;
      },
      "the program to stand still");
}

std::size_t Stage::threads() const {
  const std::filesystem::directory_iterator tasks("/proc/" + std::to_string(pid_) + "/task");
  return static_cast<std::size_t>(std::distance(begin(tasks), end(tasks)));
}

int Stage::exit_code() {
  until(
      [this] {
        return take_log(), exited_;
      },
      "the program's end");
  return WIFEXITED(status_) ? WEXITSTATUS(status_) : -1;
}

// One final answer for each request; no attempt beside another (checked as they come); a write's
// key always the same and never without need; no more attempts than the site allows.
void Stage::check_rules() {
  int questions = 0;
  for (const auto& [id, times] : asked)
    questions += times;
  CHECK(answered == questions);
  std::map<std::string, std::vector<const Attempt*>> by_id;
  for (const Attempt& a : attempts)
    by_id[a.ask.id].push_back(&a);
  for (const auto& [id, list] : by_id) {
    CHECK(asked.count(id));
    CHECK(list.size() <= 6);
    for (const Attempt* a : list)  // what may not be repeated is not, once it may have run
      CHECK(a->ask.service_class != "once" || a == list.back() || !a->may_have_run);
    for (const Attempt* a : list)
      CHECK(a->ask.key == list.front()->ask.key && a->ask.write == list.front()->ask.write);
  }
}

Stage::~Stage() {
  on_stage = nullptr;
  take_log();
  if (pid_ && !exited_) {
    kill(pid_, SIGKILL);
    until(
        [this] {
          return exited_;
        },
        "the program's end");
  }
  if (log_fd_ >= 0)
    close(log_fd_);
  for (const char* name : {"/config.json", "/gateway.textproto", "/members.csv"})
    unlink((folder_ + name).c_str());
  rmdir(folder_.c_str());
}

Ask read(const std::string& id, int wait_ms) {
  return {id, "any", "", wait_ms, false};
}

Ask save(const std::string& id) {
  return {id, "save", "key-" + id, 2500, true};
}

int attempts_of(const Stage& stage, const std::string& id) {
  int count = 0;
  for (const auto& a : stage.attempts)
    count += a.ask.id == id;
  return count;
}

void reads_served(Client& client, const std::string& name, int count) {
  for (int i = 0; i < count; ++i)
    CHECK(client.answer_to(read(name + std::to_string(i))) == Final::Served);
}

void finish(Stage& stage) {
  stage.check_rules();
  CHECK(stage.running());
}

int run_program(const std::vector<std::string>& arguments, std::string& output) {
  std::vector<const char*> list{GORSEBEAM_PROGRAM};
  for (const std::string& a : arguments)
    list.push_back(a.c_str());
  list.push_back(nullptr);
  gchar *text = nullptr, *errors = nullptr;
  gint status = 0;
  CHECK(g_spawn_sync(nullptr, const_cast<gchar**>(list.data()), nullptr, G_SPAWN_DEFAULT, nullptr,
                     nullptr, &text, &errors, &status, nullptr));
  output = std::string(errors) + text;
  g_free(text), g_free(errors);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

}  // namespace test_harness

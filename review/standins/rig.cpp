#include "rig.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rig {
namespace {

std::mutex record_mutex;
std::FILE* record_file = nullptr;
double record_begin = 0;

std::string u32(std::uint32_t value) {
  std::string text(4, '\0');
  for (int i = 0; i < 4; ++i)
    text[static_cast<std::size_t>(i)] = static_cast<char>(value >> (24 - 8 * i));
  return text;
}

std::uint32_t read_u32(const char* p) {
  std::uint32_t value = 0;
  for (int i = 0; i < 4; ++i)
    value = value << 8 | static_cast<unsigned char>(p[i]);
  return value;
}

std::string message(char type, const std::string& body) {
  return type + u32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

std::string with_zero(const std::string& text) {
  return text + std::string(1, '\0');
}

std::string status_message(const std::string& name, const std::string& value) {
  return message('S', with_zero(name) + with_zero(value));
}

std::string error_message(const std::string& code, const std::string& text) {
  return message('E', with_zero("SERROR") + with_zero("VERROR") + with_zero("C" + code) +
                          with_zero("M" + text) + std::string(1, '\0'));
}

std::string row_answer(const std::string& value, const std::string& tag) {
  const std::string column = with_zero("data") + u32(0) + std::string("\0\0", 2) + u32(17) +
                             std::string("\xff\xff", 2) + u32(0xffffffffU) + std::string("\0\1", 2);
  return message('T', std::string("\0\1", 2) + column) +
         message('D',
                 std::string("\0\1", 2) + u32(static_cast<std::uint32_t>(value.size())) + value) +
         message('C', with_zero(tag));
}

std::string ready() {
  return message('Z', "I");
}

/// Reads until `buffer` holds at least `size` bytes. Returns false at the end of the connection.
bool read_until(int fd, std::string& buffer, std::size_t size) {
  while (buffer.size() < size) {
    char space[65536];
    const ssize_t got = read(fd, space, sizeof space);
    if (got <= 0)
      return false;
    buffer.append(space, static_cast<std::size_t>(got));
  }
  return true;
}

std::string fixed(double value, int digits) {
  char text[64];
  std::snprintf(text, sizeof text, "%.*f", digits, value);
  return text;
}

}  // namespace

double unix_ms() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

void sleep_ms(double duration) {
  if (duration > 0)
    std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(duration));
}

void open_record() {
  const char* folder = std::getenv("RIG_CASE");
  record_file = std::fopen((std::string(folder ? folder : ".") + "/record.txt").c_str(), "w");
  record_begin = unix_ms();
}

void record(const std::string& line) {
  const std::lock_guard<std::mutex> lock(record_mutex);
  if (!record_file)
    return;
  std::fprintf(record_file, "%10.2f ms  %s\n", unix_ms() - record_begin, line.c_str());
  std::fflush(record_file);
}

Fields comment_fields(const std::string& statement) {
  Fields fields;
  const std::size_t begin = statement.find("/*");
  const std::size_t end = statement.find("*/");
  if (begin == std::string::npos || end == std::string::npos)
    return fields;
  std::istringstream pairs(statement.substr(begin + 2, end - begin - 2));
  for (std::string pair; std::getline(pairs, pair, ',');) {
    pair.erase(0, pair.find_first_not_of(' '));
    pair.erase(pair.find_last_not_of(' ') + 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos)
      fields.values[pair.substr(0, equals)] = pair.substr(equals + 1);
  }
  return fields;
}

std::string first_literal(const std::string& statement) {
  const std::size_t begin = statement.find('\'');
  const std::size_t end = statement.find('\'', begin + 1);
  if (begin == std::string::npos || end == std::string::npos)
    return "";
  return statement.substr(begin + 1, end - begin - 1);
}

bool is_write(const std::string& statement) {
  return statement.compare(0, 6, "INSERT") == 0;
}

int listen_on(int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 128) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  socklen_t size = sizeof address;
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

int free_port() {
  int port = 0;
  ::close(listen_on(port));
  return port;
}

int connect_to(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

bool write_all(int fd, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t sent = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

void write_file(const std::string& path, const std::string& content) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << content;
}

// ---- Data hosts

double GroupLog::commit(const std::string& code, const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const double now = unix_ms();
  commits_.push_back({now, code, value});
  return now;
}

std::string GroupLog::read(const std::string& code, double position_ms) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string value;
  for (const Commit& commit : commits_)
    if (commit.code == code && commit.at_ms <= position_ms)
      value = commit.value;
  return value;
}

double GroupLog::last_commit(const std::string& code) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  double at = 0;
  for (const Commit& commit : commits_)
    if (commit.code == code)
      at = commit.at_ms;
  return at;
}

Host::Host(std::string name, int group, std::shared_ptr<GroupLog> log, bool is_primary)
    : name_(std::move(name)), group_(group), log_(std::move(log)), is_primary_(is_primary) {
  listener_ = listen_on(port_);
  accept_thread_ = std::thread([this] {
    accept_loop();
  });
}

Host::~Host() {
  stop();
}

void Host::stop() {
  if (stopped_.exchange(true))
    return;
  shutdown(listener_, SHUT_RDWR);
  accept_thread_.join();
  ::close(listener_);
  std::vector<std::thread> threads;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : open_)
      shutdown(fd, SHUT_RDWR);
    threads.swap(threads_);
  }
  for (std::thread& thread : threads)
    thread.join();
}

double Host::position_ms() const {
  if (is_primary_)
    return unix_ms();
  if (frozen_at_ > 0)
    return frozen_at_;
  return unix_ms() - lag_ms_;
}

std::vector<Served> Host::served() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return served_;
}

void Host::accept_loop() {
  while (!stopped_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      return;
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.push_back(fd);
    threads_.emplace_back([this, fd] {
      serve(fd);
    });
  }
}

std::string Host::status() const {
  if (reports_only_to_probes_)
    return status_message("part", is_primary_ ? "master" : "replica");
  const double position = position_ms();
  return status_message("part", is_primary_ ? "master" : "replica") +
         status_message("caught_up_to", fixed(std::floor(position), 0)) +
         status_message("gauges", "x0=" + fixed(std::floor(position) / 1e3, 3) +
                                      ",x1=" + (is_primary_ ? "1" : "0"));
}

std::string Host::answer(const std::string& statement) {
  if (statement == "SHOW gauges") {
    const std::string report =
        "x0=" + fixed(std::floor(position_ms()) / 1e3, 3) + ",x1=" + (is_primary_ ? "1" : "0");
    return row_answer(report, "SHOW") + ready();
  }
  if (statement == "SELECT 1")
    return row_answer("1", "SELECT 1") + ready();
  const Fields fields = comment_fields(statement);
  if (fields.get("id").empty())
    return error_message("08P01", "no client sent this") + ready();
  Served served;
  served.host = name_;
  served.id = fields.get("id");
  served.statement = statement;
  const std::string code = first_literal(statement);
  if (is_write(statement)) {
    if (!is_primary_)
      return error_message("25006", "not the primary") + status() + ready();
    sleep_ms(work_ms_);
    const double at = log_->commit(code, "v" + fields.get("id"));
    served.at_ms = at;
    served.position_ms = at;
    served.value = "v" + fields.get("id");
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      served_.push_back(served);
    }
    record("ran: " + served.id + " at " + name_ + ", write");
    if (after)
      after(served);
    return row_answer(served.value, "INSERT 0 1") + status_message("part", "master") +
           status_message("caught_up_to", fixed(std::ceil(at), 0)) +
           status_message("gauges", "x0=" + fixed(std::floor(at) / 1e3, 3) + ",x1=1") + ready();
  }
  served.position_ms = position_ms();
  served.at_ms = unix_ms();
  served.value = log_->read(code, served.position_ms);
  if (served.value.empty())
    served.value = "none of " + std::to_string(group_);
  sleep_ms(work_ms_);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    served_.push_back(served);
  }
  record("ran: " + served.id + " at " + name_ + ", answer '" + served.value + "'");
  if (after)
    after(served);
  return row_answer(served.value, "SELECT 1") + status() + ready();
}

void Host::serve(int fd) {
  std::string buffer;
  const auto finish = [&] {
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.erase(std::remove(open_.begin(), open_.end(), fd), open_.end());
    ::close(fd);
  };
  if (!read_until(fd, buffer, 4) || !read_until(fd, buffer, read_u32(buffer.data())))
    return finish();
  buffer.erase(0, read_u32(buffer.data()));
  if (!write_all(fd, message('R', u32(0)) + status_message("server_version", "15.0") + ready()))
    return finish();
  while (!stopped_) {
    if (!read_until(fd, buffer, 5) || !read_until(fd, buffer, 1 + read_u32(buffer.data() + 1)))
      break;
    const std::size_t size = 1 + read_u32(buffer.data() + 1);
    const char type = buffer[0];
    const std::string text = buffer.substr(5, size - 6);
    buffer.erase(0, size);
    if (type == 'X')
      break;
    if (type != 'Q')
      continue;
    const bool is_of_client = text != "SHOW gauges" && text != "SELECT 1";
    if (is_of_client && before && !before(text))
      continue;
    const std::string bytes = answer(text);
    if (!write_all(fd, bytes))
      break;
    if (!is_of_client || copy_every_ == 0 || ++answers_ % copy_every_ != 0)
      continue;
    sleep_ms(copy_gap_ms_);
    pollfd waiting{fd, POLLIN, 0};
    if (poll(&waiting, 1, 0) == 0 && write_all(fd, bytes) && ++copies_ > 0)
      record(name_ + " wrote a second copy behind its answer to " + comment_fields(text).get("id"));
  }
  finish();
}

// ---- Discovery

std::string list_json(long revision, bool complete, const std::vector<Listed>& members) {
  std::ostringstream json;
  json << "{\"revision\":" << revision << ",\"complete\":" << (complete ? "true" : "false")
       << ",\"members\":[";
  const char* separator = "";
  for (const Listed& entry : members) {
    json << separator << "{\"id\":\"" << entry.id << "\",\"host_port\":\"" << entry.address
         << "\",\"locality\":\"" << entry.zone << "\",\"flavor\":\"std5\",\"cell\":" << entry.group
         << ",\"phase\":\"" << entry.phase
         << "\",\"size\":1.0,\"up_since_ms\":" << fixed(entry.up_since_ms, 0) << ",\"part\":\""
         << entry.part << "\"}";
    separator = ",";
  }
  json << "]}";
  return json.str();
}

Agent::Agent() {
  listener_ = listen_on(port_);
  accept_thread_ = std::thread([this] {
    accept_loop();
  });
}

Agent::~Agent() {
  close_all();
  for (std::thread& thread : threads_)
    thread.join();
}

void Agent::close_all() {
  if (!stopped_.exchange(true)) {
    shutdown(listener_, SHUT_RDWR);
    accept_thread_.join();
    ::close(listener_);
  }
  close_watches();
}

void Agent::close_watches() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const int fd : open_)
    shutdown(fd, SHUT_RDWR);
}

void Agent::accept_loop() {
  while (!stopped_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      return;
    const std::lock_guard<std::mutex> lock(mutex_);
    threads_.emplace_back([this, fd] {
      serve(fd);
    });
  }
}

std::string chunk(const std::string& text) {
  std::ostringstream out;
  out << std::hex << text.size() << "\r\n" << text << "\r\n";
  return out.str();
}

void Agent::set_list(long revision, std::vector<Listed> members) {
  const std::lock_guard<std::mutex> lock(mutex_);
  revision_ = revision;
  members_ = std::move(members);
}

void Agent::push(long revision, const std::vector<Listed>& changed) {
  const std::lock_guard<std::mutex> lock(mutex_);
  revision_ = revision;
  for (const Listed& entry : changed) {
    const auto same = [&](const Listed& other) {
      return other.id == entry.id;
    };
    members_.erase(std::remove_if(members_.begin(), members_.end(), same), members_.end());
    if (entry.phase != "gone")
      members_.push_back(entry);
  }
  for (const int fd : open_)
    write_all(fd, chunk(list_json(revision, false, changed) + "\n"));
}

void Agent::serve(int fd) {
  std::string buffer;
  while (buffer.find("\r\n\r\n") == std::string::npos)
    if (!read_until(fd, buffer, buffer.size() + 1)) {
      ::close(fd);
      return;
    }
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    write_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n" +
                      chunk(list_json(revision_, true, members_) + "\n"));
    open_.push_back(fd);
    ++watches_;
  }
  while (true) {
    pollfd watched{fd, POLLIN, 0};
    char byte = 0;
    if (poll(&watched, 1, 1000) > 0 && read(fd, &byte, 1) <= 0)
      break;
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!write_all(fd, chunk("\n")))
      break;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  open_.erase(std::remove(open_.begin(), open_.end(), fd), open_.end());
  ::close(fd);
}

// ---- Clients

const char* name_of(Outcome outcome) {
  switch (outcome) {
  case Outcome::Served:
    return "served";
  case Outcome::Refused:
    return "refused";
  case Outcome::Failed:
    return "failed";
  case Outcome::Closed:
    return "closed without an answer";
  case Outcome::NoAnswer:
    return "no answer";
  }
  return "";
}

Client::Client(int port, const std::string& user) {
  fd_ = connect_to(port);
  if (fd_ < 0)
    return;
  const std::string body = u32(196608) + with_zero("user") + with_zero(user) +
                           with_zero("database") + with_zero("crm") + std::string(1, '\0');
  write_all(fd_, u32(static_cast<std::uint32_t>(body.size() + 4)) + body);
  while (true) {
    pollfd watched{fd_, POLLIN, 0};
    if (poll(&watched, 1, 2000) <= 0 || !read_until(fd_, buffer_, buffer_.size() + 1))
      break;
    while (buffer_.size() >= 5 && buffer_.size() >= 1 + read_u32(buffer_.data() + 1)) {
      const char type = buffer_[0];
      buffer_.erase(0, 1 + read_u32(buffer_.data() + 1));
      if (type == 'Z')
        return;
      if (type == 'E') {
        close();
        return;
      }
    }
  }
  close();
}

Client::~Client() {
  close();
}

void Client::close() {
  if (fd_ >= 0)
    ::close(fd_);
  fd_ = -1;
}

bool Client::send(const std::string& statement) {
  return fd_ >= 0 && write_all(fd_, message('Q', with_zero(statement)));
}

Answer Client::receive(double timeout_ms) {
  Answer answer;
  answer.sent_ms = unix_ms();
  const double until = unix_ms() + timeout_ms;
  bool has_row = false;
  bool has_complete = false;
  bool is_empty = false;
  while (fd_ >= 0) {
    while (buffer_.size() >= 5 && buffer_.size() >= 1 + read_u32(buffer_.data() + 1)) {
      const std::size_t size = 1 + read_u32(buffer_.data() + 1);
      const std::string body = buffer_.substr(5, size - 5);
      const char type = buffer_[0];
      buffer_.erase(0, size);
      if (type == 'D' && body.size() >= 6) {
        has_row = true;
        answer.value = body.substr(6);
      }
      if (type == 'C')
        has_complete = true;
      if (type == 'I')
        is_empty = true;
      if (type == 'E')
        for (std::size_t i = 0; i < body.size() && body[i] != '\0';) {
          const std::string field(body.c_str() + i);
          if (field[0] == 'C')
            answer.sqlstate = field.substr(1);
          i += field.size() + 1;
        }
      if (type != 'Z')
        continue;
      answer.answered_ms = unix_ms();
      if (!answer.sqlstate.empty())
        answer.outcome = answer.sqlstate == "53300" || answer.sqlstate == "57P03" ? Outcome::Refused
                                                                                  : Outcome::Failed;
      else
        answer.outcome = (has_row && has_complete) || is_empty ? Outcome::Served : Outcome::Failed;
      return answer;
    }
    const double left = until - unix_ms();
    pollfd watched{fd_, POLLIN, 0};
    if (left <= 0 || poll(&watched, 1, static_cast<int>(left) + 1) <= 0) {
      if (unix_ms() >= until)
        return answer;
      continue;
    }
    if (!read_until(fd_, buffer_, buffer_.size() + 1)) {
      answer.outcome = answer.sqlstate.empty() ? Outcome::Closed : Outcome::Failed;
      answer.answered_ms = unix_ms();
      close();
      return answer;
    }
  }
  answer.outcome = Outcome::Closed;
  return answer;
}

Answer Client::query(const std::string& statement, double timeout_ms) {
  const double sent = unix_ms();
  const std::string id = comment_fields(statement).get("id");
  if (!id.empty())
    record("sent: " + statement);
  if (!send(statement)) {
    Answer answer;
    answer.outcome = Outcome::Closed;
    return answer;
  }
  Answer answer = receive(timeout_ms);
  answer.sent_ms = sent;
  if (!id.empty())
    record("answered: " + id + " " + name_of(answer.outcome) +
           (answer.outcome == Outcome::Served ? " '" + answer.value + "'" : " " + answer.sqlstate));
  return answer;
}

std::string new_id() {
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard<std::mutex> lock(mutex);
  char text[32];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
  return text;
}

std::string read_statement(const std::string& service_class, int deadline_ms, int group,
                           const std::string& code, const std::string& id,
                           const std::string& extra) {
  return "SELECT data FROM facts WHERE code = '" + code + "' /* id=" + id + ",c=" + service_class +
         ",d=" + std::to_string(deadline_ms) + ",cluster=" + std::to_string(group) + extra + " */";
}

std::string write_statement(const std::string& service_class, int deadline_ms, int group,
                            const std::string& code, const std::string& id,
                            const std::string& key) {
  return "INSERT INTO facts (code, data) VALUES ('" + code +
         "', '\\x9f03') RETURNING data /* id=" + id + ",c=" + service_class +
         ",d=" + std::to_string(deadline_ms) + (key.empty() ? "" : ",k=" + key) +
         ",cluster=" + std::to_string(group) + " */";
}

// ---- The gateway

std::string settings_json(const Deployment& deployment) {
  const std::string first_classes = R"([
 {"aim":300000000,"effect":"free","give_up":750000000,"group":"all","late_worth":0.0,"name":"yield-chart","stream":false,"window":5000000000,"worth":3.0},
 {"aim":600000000,"effect":"free","give_up":2500000000,"group":"all","late_worth":0.0,"name":"my-settings","stream":false,"window":5000000000,"worth":2.0},
 {"aim":300000000,"effect":"free","give_up":1000000000,"group":"all","late_worth":0.0,"name":"area-summary","stream":false,"window":5000000000,"worth":2.0},
 {"aim":400000000,"effect":"free","give_up":1000000000,"group":"all","late_worth":0.0,"name":"fault-status","stream":false,"window":5000000000,"worth":2.0},
 {"aim":750000000,"effect":"guarded","give_up":3000000000,"group":"cell","late_worth":0.3,"name":"reading-save","stream":false,"window":2000000000,"worth":6.0}])";
  const std::string second_classes = R"([
 {"aim":600000000,"effect":"free","give_up":2000000000,"group":"all","late_worth":0.0,"name":"case-browse","stream":false,"window":5000000000,"worth":2.0},
 {"aim":750000000,"effect":"free","give_up":2000000000,"group":"all","late_worth":0.0,"name":"own-draft-read","stream":false,"window":5000000000,"worth":2.0},
 {"aim":400000000,"effect":"free","give_up":1500000000,"group":"all","late_worth":0.2,"name":"public-map","stream":false,"window":5000000000,"worth":1.0},
 {"aim":500000000,"effect":"free","give_up":2000000000,"group":"all","late_worth":0.2,"name":"deadline-check","stream":false,"window":5000000000,"worth":2.0},
 {"aim":600000000,"effect":"single_shot","give_up":5000000000,"group":"all","late_worth":0.3,"name":"submit-filing","stream":false,"window":5000000000,"worth":4.0}])";
  const bool second = deployment.second_site;
  std::ostringstream json;
  json
      << R"({"areas":["a","b","c"],"balancers":)" << deployment.balancers << R"(,"classes":)"
      << (second ? second_classes : first_classes)
      << R"(,"clients":{"marks_retry":false},"customers":[],"discovery":"automatic",)"
      << R"("extra":{"checks":"none","lag_allowed":[)" << (second ? "300000000" : "200000000")
      << R"(,0,0,0,0],"list_role":"static","positions":true,"read_level":)"
      << R"(["lag_bound","causal","eventual","strong","mutate"],"token_mode":")"
      << deployment.token_mode << R"(","wait":0,"waits_for_copy":false,"zero":0},)"
      << R"("family":"replicas","kinds":["std5"],"layer":0,"layers":["inverter-db"],)"
      << R"("limits":{"cancel":true,"dial_timeout":250000000,"keepalive":30000000000,)"
      << R"("max_open":24656,"max_retry_after":2000000000,"multiplex":1,"parallel_tries":)"
      << (second ? "true" : "false")
      << R"(,"peers":false,"probes":true,"retry_after":true,"send_cap":)" << (second ? 8 : 6)
      << R"(},"locality":"a","me":0,)"
      << R"("obligations":{"answer_slack":20000000,"cold":16000000000,"cold_from":0.16,"drain_grace":)"
      << (second ? "2000000000" : "250000000")
      << R"(,"fall":1000000000,"fall_multiple":2.0,"must_ask_in":10000000000},)"
      << R"("over_share_worth":0.1,"prices":{"connection":0.0,"cross_zone":0.026,"probe":0.012,)"
      << R"("waste":0.05},"report":{"fields":["x0","x1"],"via":")" << deployment.report_via
      << R"("},"tick":5000000,"weights":"nominal","worth_by":"request"})";
  return json.str();
}

std::string temporary_folder() {
  struct Folders {
    std::vector<std::string> paths;

    ~Folders() {
      for (const std::string& path : paths)
        if (std::system(("rm -rf '" + path + "'").c_str()) != 0)
          std::perror("rm");
    }
  };

  static Folders folders;
  const char* base = std::getenv("TMPDIR");
  std::string path = std::string(base ? base : "/tmp") + "/review-XXXXXX";
  if (!mkdtemp(path.data())) {
    std::perror("mkdtemp");
    std::exit(2);
  }
  folders.paths.push_back(path);
  return path;
}

Gateway::Gateway(const Deployment& deployment, const std::string& discovery,
                 const std::vector<Listed>& known, const std::string& operators_file)
    : deployment_(deployment), discovery_(discovery), known_(known),
      operators_file_(operators_file), folder_(temporary_folder()), port_(free_port()) {}

Gateway::~Gateway() {
  stop();
}

void Gateway::write_config() {
  const std::string text =
      "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + std::to_string(port_) + "\",\"discovery\":\"" +
      discovery_ + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192," +
      "\"sockets\":1024},\"known\":" + list_json(1, true, known_) +
      ",\"settings\":" + settings_json(deployment_) + "}";
  write_file(folder_ + "/config.new", text);
  std::rename((folder_ + "/config.new").c_str(), (folder_ + "/config.json").c_str());
}

void Gateway::set_discovery(const std::string& discovery) {
  discovery_ = discovery;
  write_config();
}

bool Gateway::start() {
  write_config();
  const char* root = std::getenv("RIG_ROOT");
  const char* command = std::getenv("RIG_RUN");
  if (!root || !command)
    return false;
  const std::string run =
      std::string(command) + (operators_file_.empty() ? "" : " --file '" + operators_file_ + "'");
  record("gateway started: " + run.substr(0, run.find(" --file")) +
         (operators_file_.empty() ? "" : " --file FILE"));
  pid_ = fork();
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends if the test is ended
    const int log = open((folder_ + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    setenv("RELAY_CONFIG", (folder_ + "/config.json").c_str(), 1);
    setenv("RELAY_NAME", "n1", 1);
    setenv("RELAY_LISTEN", ("127.0.0.1:" + std::to_string(port_)).c_str(), 1);
    setenv("RELAY_DISCOVERY", discovery_.c_str(), 1);
    setenv("TMPDIR", folder_.c_str(), 1);
    if (chdir(root) != 0)
      _exit(127);
    execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  return pid_ > 0;
}

bool Gateway::wait_ready(double timeout_ms) {
  const double until = unix_ms() + timeout_ms;
  while (unix_ms() < until && is_running()) {
    Client client(port_);
    if (client.is_open() && client.query("", 500).outcome == Outcome::Served)
      return true;
    sleep_ms(30);
  }
  return false;
}

void Gateway::signal(int number) {
  if (pid_ > 0)
    kill(pid_, number);
}

bool Gateway::is_running() {
  if (pid_ <= 0)
    return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == 0)
    return true;
  record(WIFSIGNALED(status) ? "gateway ended by signal " + std::to_string(WTERMSIG(status))
                             : "gateway ended with status " + std::to_string(WEXITSTATUS(status)));
  pid_ = -1;
  return false;
}

void Gateway::stop() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGCONT);
  kill(pid_, SIGTERM);
  for (int i = 0; i < 500 && is_running(); ++i)
    sleep_ms(10);
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

std::string Gateway::log_text() const {
  std::ifstream file(folder_ + "/log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool without_trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble && std::string(trouble) == "0";
}

}  // namespace rig

/// Stand-ins of the second review: data hosts, clients and the platform's discovery agent on
/// loopback addresses, and the gateway as a process of its own. Written from the operators' pages;
/// header only, C++17, without libraries.
///
/// A stand-in host answers as the protocol page says: the row, `part`, `caught_up_to` and `gauges`
/// before ReadyForQuery; 25006 for a write at a replica; `SHOW gauges` with its report; an empty
/// query at once. A case changes that by a handler.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace standin {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

/// Unix time in milliseconds.
inline double now_ms() {
  using namespace std::chrono;
  return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count() / 1000.0;
}

inline void sleep_ms(double ms) {
  if (ms > 0)
    std::this_thread::sleep_for(std::chrono::microseconds(static_cast<long>(ms * 1000)));
}

/// The file `record.txt`: what was sent, answered and run, in milliseconds since the start.
class Record {
public:
  static Record& get() {
    static Record record;
    return record;
  }

  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }

  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!file_)
      return;
    std::fprintf(file_, "%9.1f ", now_ms() - begun_);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
  double begun_ = now_ms();
};

#define RECORD(...) standin::Record::get().line(__VA_ARGS__)

// ---- Sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// A listening socket at a free port of 127.0.0.1.
struct ListeningSocket {
  int fd = -1;
  int port = 0;

  ListeningSocket() {
    fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(fd, 512) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
      throw std::runtime_error("cannot listen");
    port = ntohs(address.sin_port);
  }
};

inline int free_port() {
  const ListeningSocket socket;
  ::close(socket.fd);
  return socket.port;
}

/// Connects to a port of 127.0.0.1; -1 if that fails. A `receive_buffer` above 0 bounds what the
/// kernel takes in for a reader that takes its time.
inline int connect_to(int port, int receive_buffer = 0) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  if (receive_buffer > 0)
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0)
    return fd;
  ::close(fd);
  return -1;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

/// Reads whole messages from a socket; false at its end, or once `until` has passed.
class Input {
public:
  explicit Input(int fd) : fd_(fd) {}

  bool need(std::size_t size, double until = 0) {
    while (bytes_.size() < size) {
      if (until > 0) {
        pollfd wanted{fd_, POLLIN, 0};
        const double left = until - now_ms();
        if (left <= 0 || ::poll(&wanted, 1, static_cast<int>(left) + 1) <= 0) {
          timed_out_ = true;
          return false;
        }
      }
      char buffer[65536];
      const ssize_t n = ::recv(fd_, buffer, sizeof buffer, 0);
      if (n <= 0)
        return false;
      bytes_.append(buffer, static_cast<std::size_t>(n));
    }
    return true;
  }

  std::string take(std::size_t size) {
    std::string taken = bytes_.substr(0, size);
    bytes_.erase(0, size);
    return taken;
  }

  [[nodiscard]] const std::string& peek() const { return bytes_; }

  [[nodiscard]] bool timed_out() const { return timed_out_; }

private:
  int fd_;
  std::string bytes_;
  bool timed_out_ = false;
};

// ---- PostgreSQL's protocol, version 3

inline std::string u32(std::uint32_t value) {
  const std::uint32_t big = htonl(value);
  return std::string(reinterpret_cast<const char*>(&big), 4);
}

inline std::uint32_t read_u32(const std::string& bytes, std::size_t at) {
  std::uint32_t big = 0;
  std::memcpy(&big, bytes.data() + at, 4);
  return ntohl(big);
}

inline std::string message(char type, const std::string& body) {
  return type + u32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

inline std::string zero(const std::string& text) {
  return text + '\0';
}

inline std::string ready() {
  return message('Z', "I");
}

inline std::string parameter(const std::string& name, const std::string& value) {
  return message('S', zero(name) + zero(value));
}

inline std::string error(const std::string& code) {
  return message('E',
                 zero("SERROR") + zero("VERROR") + zero("C" + code) + zero("Mstand-in") + '\0');
}

inline std::string row_description() {
  return message('T', std::string("\0\1", 2) + zero("data") + u32(0) + std::string(2, '\0') +
                          u32(17) + std::string("\xff\xff\xff\xff\xff\xff\0\1", 8));
}

inline std::string row(const std::string& value) {
  return row_description() +
         message('D',
                 std::string("\0\1", 2) + u32(static_cast<std::uint32_t>(value.size())) + value) +
         message('C', zero("SELECT 1"));
}

/// The value of a field in a statement's comment, such as `id`; empty if there is none.
inline std::string comment_field(const std::string& sql, const std::string& name) {
  const std::size_t comment = sql.rfind("/*");
  for (const char* before : {" ", ","}) {
    const std::size_t at =
        sql.find(before + name + "=", comment == std::string::npos ? 0 : comment);
    if (at == std::string::npos)
      continue;
    const std::size_t begin = at + 2 + name.size();
    return sql.substr(begin, sql.find_first_of(", ", begin) - begin);
  }
  return "";
}

/// Thrown by a handler to end its connection.
struct HangUp {};

/// A data host.
class Host {
public:
  /// Answers a statement on the socket and returns true, or returns false for the usual answer.
  using Handler = std::function<bool(Host&, int fd, const std::string& sql)>;

  Host(std::string name, bool is_primary, Handler handler = nullptr)
      : name_(std::move(name)), is_primary_(is_primary), handler_(std::move(handler)) {
    std::thread([this] {
      accept_all();
    }).detach();
  }

  [[nodiscard]] const std::string& name() const { return name_; }

  [[nodiscard]] int port() const { return socket_.port; }

  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

  void set_primary(bool is_primary) { is_primary_ = is_primary; }

  [[nodiscard]] bool is_primary() const { return is_primary_; }

  /// The statements that came, with their times; not the probes.
  [[nodiscard]] std::vector<std::pair<double, std::string>> statements() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return statements_;
  }

  [[nodiscard]] std::string report() const {
    char text[64];
    std::snprintf(text, sizeof text, "x0=%.3f,x1=%d", now_ms() / 1000, is_primary_ ? 1 : 0);
    return text;
  }

  /// What comes before ReadyForQuery of an answer.
  [[nodiscard]] std::string note() const {
    return parameter("part", is_primary_ ? "master" : "replica") +
           parameter("caught_up_to", std::to_string(static_cast<long long>(now_ms()))) +
           parameter("gauges", report());
  }

private:
  void accept_all() {
    while (true) {
      const int fd = ::accept4(socket_.fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd] {
        try {
          serve(fd);
        } catch (const HangUp&) {
        }
        ::close(fd);
      }).detach();
    }
  }

  void serve(int fd) {
    Input input(fd);
    if (!input.need(4))
      return;
    const std::uint32_t size = read_u32(input.peek(), 0);
    if (!input.need(size))
      return;
    input.take(size);
    if (!send_all(fd, message('R', u32(0)) + ready()))
      return;
    while (input.need(5)) {
      const std::uint32_t length = read_u32(input.peek(), 1);
      if (!input.need(1 + length))
        return;
      const std::string bytes = input.take(1 + length);
      if (bytes[0] != 'Q')
        return;
      if (!answer(fd, bytes.substr(5, bytes.size() - 6)))
        return;
    }
  }

  bool answer(int fd, const std::string& sql) {
    if (sql.empty())
      return send_all(fd, message('I', "") + ready());
    if (sql.rfind("SHOW ", 0) == 0)
      return send_all(fd, row(report()) + note() + ready());
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      statements_.emplace_back(now_ms(), sql);
    }
    if (handler_ && handler_(*this, fd, sql))
      return true;
    if (!is_primary_ && sql.rfind("INSERT", 0) == 0)
      return send_all(fd, error("25006") + note() + ready());
    return send_all(fd, row("value of " + name_) + note() + ready());
  }

  std::string name_;
  std::atomic<bool> is_primary_;
  Handler handler_;
  ListeningSocket socket_;
  mutable std::mutex mutex_;
  std::vector<std::pair<double, std::string>> statements_;
};

// ---- Discovery

struct Member {
  const Host* host = nullptr;
  int cell = 1;
  std::string phase = "ready";
  std::string part;  ///< "master", "replica", or empty.

  [[nodiscard]] std::string json() const {
    std::string text =
        "{\"id\":\"" + host->name() + "\",\"host_port\":\"" + host->address() +
        "\",\"locality\":\"a\",\"flavor\":\"std5\",\"cell\":" + std::to_string(cell) +
        ",\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0";
    return text + (part.empty() ? "}" : ",\"part\":\"" + part + "\"}");
  }
};

inline std::string list_json(int revision, bool complete, const std::vector<Member>& members) {
  std::string text = "{\"revision\":" + std::to_string(revision) +
                     ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
  for (std::size_t i = 0; i < members.size(); ++i)
    text += (i == 0 ? "" : ",") + members[i].json();
  return text + "]}";
}

/// The agent of discovery on the gateway's machine. It answers a call at once with the whole list,
/// sends changes, and an empty line every 2 s. While it is silent it accepts connections and sends
/// nothing; a watch that has fallen silent stays silent and has to be opened anew, as the pages
/// say.
class Agent {
public:
  /// `chunked_field` is the field of its answers' heads that says that they are chunked.
  explicit Agent(std::vector<Member> members,
                 std::string chunked_field = "Transfer-Encoding: chunked")
      : chunked_field_(std::move(chunked_field)), members_(std::move(members)) {
    std::thread([this] {
      accept_all();
    }).detach();
    std::thread([this] {
      beat();
    }).detach();
  }

  [[nodiscard]] int port() const { return socket_.port; }

  [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

  /// Applies a change, and sends it to the open watches unless the agent is silent.
  void change(const Member& member) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++revision_;
    for (Member& known : members_)
      if (known.host == member.host)
        known = member;
    for (const int fd : watches_)
      send_chunk(fd, list_json(revision_, false, {member}) + "\n");
  }

  void fall_silent() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_silent_ = true;
    watches_.clear();
  }

  void speak_again() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_silent_ = false;
  }

  /// Accepts no new connection and closes the open ones.
  void close() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ::shutdown(socket_.fd, SHUT_RDWR);
    ::close(socket_.fd);
    for (const int fd : watches_)
      ::shutdown(fd, SHUT_RDWR);
    watches_.clear();
  }

  /// The times at which calls came.
  [[nodiscard]] std::vector<double> calls() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return calls_;
  }

private:
  void accept_all() {
    while (true) {
      const int fd = ::accept4(socket_.fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      std::thread([this, fd] {
        serve(fd);
      }).detach();
    }
  }

  void serve(int fd) {
    Input input(fd);
    std::size_t size = 1;
    while (input.need(size) && input.peek().find("\r\n\r\n") == std::string::npos)
      size = input.peek().size() + 1;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      calls_.push_back(now_ms());
      RECORD("agent %d: a call%s", port(),
             is_silent_ ? ", not answered: the agent is silent" : ", answered");
      if (!is_silent_) {
        send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + chunked_field_ +
                         "\r\n\r\n");
        send_chunk(fd, list_json(revision_, true, members_) + "\n");
        watches_.push_back(fd);
      }
    }
    char byte = 0;
    while (::recv(fd, &byte, 1, 0) > 0) {
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<int> others;
    for (const int other : watches_)
      if (other != fd)
        others.push_back(other);
    watches_ = others;
    ::close(fd);
  }

  static void send_chunk(int fd, const std::string& bytes) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    send_all(fd, size + bytes + "\r\n");
  }

  void beat() {
    while (true) {
      sleep_ms(2000);
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const int fd : watches_)
        send_chunk(fd, "\n");
    }
  }

  ListeningSocket socket_;
  mutable std::mutex mutex_;
  std::string chunked_field_;
  std::vector<Member> members_;
  std::vector<int> watches_;
  std::vector<double> calls_;
  int revision_ = 1;
  bool is_silent_ = false;
};

// ---- The gateway

struct ClassSettings {
  const char* name;
  int aim_ms;
  int give_up_ms;
  const char* effect;
  int window_ms;
  const char* late_worth;
  const char* read_level;
  int lag_allowed_ms;
};

/// The classes of a small deployment.
inline std::vector<ClassSettings> usual_classes() {
  return {{"yield-chart", 300, 750, "free", 0, "0", "lag_bound", 200},
          {"my-settings", 600, 2500, "free", 0, "0", "causal", 0},
          {"area-summary", 300, 1000, "free", 0, "0", "eventual", 0},
          {"fault-status", 400, 1000, "free", 0, "0", "strong", 0},
          {"reading-save", 750, 3000, "guarded", 2000, "0.3", "mutate", 0}};
}

inline std::string nanoseconds(int milliseconds) {
  return std::to_string(milliseconds * 1'000'000LL);
}

struct Config {
  int port = 0;
  std::string discovery;
  int memory_mb = 192;
  int sockets = 1024;
  std::string known;  ///< In discovery's form.
  std::vector<ClassSettings> classes = usual_classes();

  [[nodiscard]] std::string json() const {
    std::ostringstream classes_json;
    std::ostringstream levels;
    std::ostringstream lags;
    const char* comma = "";
    for (const ClassSettings& c : classes) {
      classes_json << comma << "{\"name\":\"" << c.name << "\",\"aim\":" << nanoseconds(c.aim_ms)
                   << ",\"give_up\":" << nanoseconds(c.give_up_ms) << ",\"effect\":\"" << c.effect
                   << "\",\"group\":\"cell\",\"window\":" << nanoseconds(c.window_ms)
                   << ",\"worth\":2,\"late_worth\":" << c.late_worth << ",\"stream\":false}";
      levels << comma << '"' << c.read_level << '"';
      lags << comma << nanoseconds(c.lag_allowed_ms);
      comma = ",";
    }
    std::ostringstream json;
    json << "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" << port << "\",\"discovery\":\"" << discovery
         << "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" << memory_mb
         << ",\"sockets\":" << sockets << "},\"known\":" << known
         << ",\"settings\":{\"areas\":[\"a\"],\"balancers\":1,\"classes\":[" << classes_json.str()
         << "],\"clients\":{\"marks_retry\":false},\"customers\":[],\"discovery\":\"automatic\","
            "\"extra\":{\"checks\":"
            "\"none\",\"lag_allowed\":["
         << lags.str() << "],\"list_role\":\"static\",\"positions\":true,\"read_level\":["
         << levels.str()
         << "],\"token_mode\":\"kept\",\"wait\":0,\"waits_for_copy\":false,\"zero\":0},\"family\":"
            "\"replicas\",\"kinds\":"
            "[\"std5\"],\"layer\":0,\"layers\":[\"db\"],\"limits\":{\"cancel\":true,\"dial_"
            "timeout\":250000000,\"keepalive\":"
            "30000000000,\"max_open\":24656,\"max_retry_after\":2000000000,\"multiplex\":1,"
            "\"parallel_tries\":false,"
            "\"peers\":false,\"probes\":true,\"retry_after\":true,\"send_cap\":6},\"locality\":"
            "\"a\",\"me\":0,"
            "\"obligations\":{\"answer_slack\":20000000,\"cold\":16000000000,\"cold_from\":0.16,"
            "\"drain_grace\":250000000,"
            "\"fall\":1000000000,\"fall_multiple\":2.0},\"report\":{\"fields\":[\"x0\",\"x1\"],"
            "\"via\":\"answers\"},"
            "\"tick\":5000000,\"weights\":\"nominal\"}}";
    return json.str();
  }
};

inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::trunc);
  file << text;
}

/// The program that `run` of the deploy file starts, from the project's root.
class Gateway {
public:
  Gateway(std::string folder, Config config, std::string file = "")
      : folder_(std::move(folder)), config_(std::move(config)), file_(std::move(file)) {
    if (config_.port == 0)
      config_.port = free_port();
  }

  ~Gateway() { end(); }

  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  [[nodiscard]] int port() const { return config_.port; }

  [[nodiscard]] Config& config() { return config_; }

  [[nodiscard]] pid_t pid() const { return pid_; }

  [[nodiscard]] std::string log_path() const { return folder_ + "/gateway.log"; }

  void write_config() { write_file(folder_ + "/config.json", config_.json()); }

  /// Starts the program and waits until it takes clients. Returns false if it does not.
  bool start() {
    write_config();
    const char* run = std::getenv("RUN_COMMAND");
    std::string command = run ? run : "exec build/gorsebeam-gateway serve";
    if (!file_.empty())
      command += " --file " + file_;
    const std::string config_path = folder_ + "/config.json";
    const std::string listen = "127.0.0.1:" + std::to_string(config_.port);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the case, whatever ends that
      ::setenv("RELAY_NAME", "n0", 1);
      ::setenv("RELAY_LISTEN", listen.c_str(), 1);
      ::setenv("RELAY_DISCOVERY", config_.discovery.c_str(), 1);
      ::setenv("RELAY_CONFIG", config_path.c_str(), 1);
      const int log = ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(log, 1);
      ::dup2(log, 2);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
      ::_exit(127);
    }
    RECORD("platform: started the gateway, process %d: %s", pid_, command.c_str());
    for (int i = 0; i < 100; ++i) {
      const int fd = connect_to(config_.port);
      if (fd >= 0) {
        ::close(fd);
        return true;
      }
      if (has_ended())
        return false;
      sleep_ms(50);
    }
    return false;
  }

  void signal(int number) const {
    if (pid_ > 0)
      ::kill(pid_, number);
  }

  /// Whether the process has ended by itself.
  bool has_ended() {
    if (pid_ <= 0)
      return true;
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) != pid_)
      return false;
    RECORD("platform: the gateway has ended, wait status %d", status);
    pid_ = 0;
    return true;
  }

  /// Ends the process with SIGKILL.
  void end() {
    if (pid_ <= 0)
      return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }

  /// A value of /proc/PID/status in KiB, such as "VmHWM"; 0 if it is not there.
  [[nodiscard]] long status_kib(const std::string& name) const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
    std::string line;
    while (std::getline(file, line))
      if (line.rfind(name + ":", 0) == 0)
        return std::atol(line.c_str() + name.size() + 1);
    return 0;
  }

  [[nodiscard]] bool log_contains(const std::string& text) const {
    std::ifstream file(log_path());
    std::stringstream all;
    all << file.rdbuf();
    return all.str().find(text) != std::string::npos;
  }

private:
  std::string folder_;
  Config config_;
  std::string file_;
  pid_t pid_ = 0;
};

// ---- Clients

inline std::string new_id() {
  static std::atomic<std::uint64_t> next{static_cast<std::uint64_t>(now_ms() * 1000) << 12};
  char text[20];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(next++));
  return text;
}

inline std::string select(const std::string& id, const std::string& c, int d, int cluster = 1,
                          const std::string& key = "7f3a9c21e0b4d655") {
  return "SELECT data FROM facts WHERE code = '" + key + "' /* id=" + id + ",c=" + c +
         ",d=" + std::to_string(d) + ",cluster=" + std::to_string(cluster) + " */";
}

inline std::string insert(const std::string& id, const std::string& c, int d, int cluster = 1,
                          const std::string& key = "7f3a9c21e0b4d655") {
  return "INSERT INTO facts (code, data) VALUES ('" + key +
         "', '\\x9f03') RETURNING data /* id=" + id + ",c=" + c + ",d=" + std::to_string(d) +
         ",k=" + new_id() + ",cluster=" + std::to_string(cluster) + " */";
}

struct Answer {
  enum class Kind { Served, Refused, Failed, Closed, None };
  Kind kind = Kind::None;
  std::string code;   ///< Of an error.
  std::string value;  ///< Of a row.
  double at = 0;

  [[nodiscard]] std::string text() const {
    switch (kind) {
    case Kind::Served:
      return "served, " + std::to_string(value.size()) + " bytes";
    case Kind::Refused:
      return "refused, " + code;
    case Kind::Failed:
      return "failed, " + code;
    case Kind::Closed:
      return "the connection ended without an answer";
    case Kind::None:
      return "no answer";
    }
    return "";
  }
};

class Client {
public:
  explicit Client(int port) : Client(port, connect_to(port)) {}

  /// Begins a session on a connected socket.
  Client(int, int fd) : fd_(fd), input_(fd_) {
    if (fd_ < 0)
      return;
    const std::string body =
        u32(196608) + zero("user") + zero("portal") + zero("database") + zero("crm") + '\0';
    send_all(fd_, u32(static_cast<std::uint32_t>(body.size() + 4)) + body);
    is_open_ = read(now_ms() + 5000).kind == Answer::Kind::None;
  }

  ~Client() { close(); }

  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  [[nodiscard]] bool is_open() const { return is_open_; }

  [[nodiscard]] int fd() const { return fd_; }

  void close() {
    if (fd_ >= 0)
      ::close(fd_);
    fd_ = -1;
    is_open_ = false;
  }

  bool send(const std::string& sql) { return fd_ >= 0 && send_all(fd_, message('Q', zero(sql))); }

  /// Reads up to ReadyForQuery, a fatal error, the end of the connection, or `until`.
  Answer read(double until) {
    Answer answer;
    while (true) {
      if (!input_.need(5, until) || !input_.need(1 + read_u32(input_.peek(), 1), until)) {
        answer.kind = input_.timed_out() ? Answer::Kind::None : Answer::Kind::Closed;
        answer.at = now_ms();
        is_open_ = is_open_ && input_.timed_out();
        return answer;
      }
      const std::string bytes = input_.take(1 + read_u32(input_.peek(), 1));
      if (bytes[0] == 'D')
        answer.value = bytes.substr(11);
      if (bytes[0] == 'C')
        answer.kind = Answer::Kind::Served;
      if (bytes[0] == 'E') {
        const std::size_t at = bytes.find(std::string(1, '\0') + "C");
        answer.code = at == std::string::npos ? "" : bytes.substr(at + 2, 5);
        const bool is_refused = answer.code == "53300" || answer.code == "57P03";
        answer.kind = is_refused ? Answer::Kind::Refused : Answer::Kind::Failed;
        if (bytes.find("FATAL") != std::string::npos) {
          answer.at = now_ms();
          is_open_ = false;
          return answer;
        }
      }
      if (bytes[0] == 'Z') {
        answer.at = now_ms();
        return answer;
      }
    }
  }

  Answer ask(const std::string& sql, double wait_ms) {
    const double begun = now_ms();
    if (!send(sql)) {
      is_open_ = false;
      return {Answer::Kind::Closed, "", "", now_ms()};
    }
    return read(begun + wait_ms);
  }

private:
  int fd_;
  Input input_;
  bool is_open_ = false;
};

// ---- The frame of a case

struct Case {
  std::string folder;  ///< Temporary, for files of this run.
  bool has_trouble = true;
};

/// Runs `body` with the case's frame: main(argc, argv) is called with the record's path and a
/// temporary folder.
inline int run_case(int argc, char** argv, const std::function<int(const Case&)>& body) {
  if (argc != 3)
    return kCouldNotRun;
  ::signal(SIGPIPE, SIG_IGN);
  Record::get().open(argv[1]);
  Case a_case;
  a_case.folder = argv[2];
  const char* trouble = std::getenv("TROUBLE");
  a_case.has_trouble = !trouble || std::string(trouble) != "0";
  int result = kCouldNotRun;
  try {
    result = body(a_case);
  } catch (const std::exception& problem) {
    RECORD("the case could not run: %s", problem.what());
  }
  RECORD("result: %s", result == kHeld     ? "the rule held"
                       : result == kBroken ? "the rule was broken"
                                           : "could not run");
  std::fflush(nullptr);
  ::_exit(result);  // the stand-ins' threads end with the process
}

}  // namespace standin

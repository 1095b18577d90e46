// Stand-ins for clients, data hosts and the discovery agent, and the gateway as a separate process.
// Only the C++ library and POSIX are used. Each connection has a thread of its own.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace rig {

// ---- Time and record

double unix_ms();  ///< Unix time in milliseconds, with a fraction.
void sleep_ms(double duration);

/// Opens record.txt in the folder that RIG_CASE names. Times in it count from this call.
void open_record();
/// Adds a line to the record.
void record(const std::string& line);

// ---- Small helpers

struct Fields {
  std::map<std::string, std::string> values;

  std::string get(const std::string& name) const {
    const auto found = values.find(name);
    return found == values.end() ? "" : found->second;
  }
};

/// The names and values in the comment of a statement.
Fields comment_fields(const std::string& statement);
/// The first quoted literal of a statement.
std::string first_literal(const std::string& statement);
bool is_write(const std::string& statement);

/// A listening socket on 127.0.0.1; port 0 chooses a free port, which is returned in `port`.
int listen_on(int& port);
int free_port();
int connect_to(int port);
bool write_all(int fd, const std::string& bytes);
void write_file(const std::string& path, const std::string& content);

// ---- Data hosts

struct Commit {
  double at_ms = 0;
  std::string code;
  std::string value;
};

/// The log of a group: its commits in order. Shared by the hosts of the group.
class GroupLog {
public:
  double commit(const std::string& code, const std::string& value);
  /// The newest value of `code` that was committed at `position_ms` or before; empty if none.
  std::string read(const std::string& code, double position_ms) const;
  /// The time of the newest commit of `code`; 0 if there is none.
  double last_commit(const std::string& code) const;

private:
  mutable std::mutex mutex_;
  std::vector<Commit> commits_;
};

/// One answered statement.
struct Served {
  std::string host;
  std::string id;
  std::string statement;
  double at_ms = 0;
  double position_ms = 0;
  std::string value;
};

/// A data host, as PROTOCOL describes it: any user, simple queries, reports in each answer.
class Host {
public:
  Host(std::string name, int group, std::shared_ptr<GroupLog> log, bool is_primary);
  ~Host();

  int port() const { return port_; }

  const std::string& name() const { return name_; }

  int group() const { return group_; }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  /// The position up to which the log is applied; a primary stands at the present.
  double position_ms() const;

  /// A replica that applies the log with this delay.
  void set_lag_ms(double lag) { lag_ms_ = lag; }

  /// A replica that stands at this position until `set_frozen_at(0)`.
  void set_frozen_at(double position) { frozen_at_ = position; }

  void set_primary(bool is_primary) { is_primary_ = is_primary; }

  bool is_primary() const { return is_primary_; }

  void set_work_ms(double work) { work_ms_ = work; }

  /// Answers tell the role, and for a write the time of its commit; the rest shows only in probes.
  void report_only_to_probes() { reports_only_to_probes_ = true; }

  /// Every n-th answer to a client's statement is followed by a second copy of itself, written this
  /// many milliseconds later if nothing else waits on the connection then; n = 0: none.
  void set_second_copy(int every, double gap_ms) {
    copy_every_ = every;
    copy_gap_ms_ = gap_ms;
  }

  /// Called for each statement of a client before it runs; returns false if the host stays silent.
  std::function<bool(const std::string& statement)> before;
  /// Called after a statement of a client ran.
  std::function<void(const Served&)> after;

  std::vector<Served> served() const;

  int copies() const { return copies_; }

  /// Ends all connections and the listener.
  void stop();

private:
  void accept_loop();
  void serve(int fd);
  std::string answer(const std::string& statement);
  std::string status() const;

  std::string name_;
  int group_;
  std::shared_ptr<GroupLog> log_;
  std::atomic<bool> is_primary_;
  std::atomic<double> lag_ms_{5};
  std::atomic<double> frozen_at_{0};
  std::atomic<double> work_ms_{2};
  std::atomic<bool> reports_only_to_probes_{false};
  std::atomic<int> copy_every_{0};
  std::atomic<double> copy_gap_ms_{0};
  std::atomic<int> answers_{0};
  std::atomic<int> copies_{0};
  std::atomic<bool> stopped_{false};
  int port_ = 0;
  int listener_ = -1;
  std::thread accept_thread_;
  mutable std::mutex mutex_;
  std::vector<Served> served_;
  std::vector<int> open_;
  std::vector<std::thread> threads_;
};

// ---- Discovery

struct Listed {
  std::string id;
  std::string address;
  int group = 0;
  std::string phase = "ready";
  std::string part = "replica";
  double up_since_ms = 0;
  std::string zone = "a";
};

std::string list_json(long revision, bool complete, const std::vector<Listed>& members);

/// The agent of one gateway: serves the watch, chunked, with an empty line every second.
class Agent {
public:
  Agent();
  ~Agent();

  int port() const { return port_; }

  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  /// The whole list, which a new watch gets first.
  void set_list(long revision, std::vector<Listed> members);
  /// Tells open watches what changed, and changes the whole list.
  void push(long revision, const std::vector<Listed>& changed);
  /// Accepts no new connection, and closes the open ones.
  void close_all();
  void close_watches();

  int watches() const { return watches_; }

private:
  void accept_loop();
  void serve(int fd);
  int port_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopped_{false};
  std::atomic<int> watches_{0};
  std::thread accept_thread_;
  std::mutex mutex_;
  long revision_ = 0;
  std::vector<Listed> members_;
  std::vector<int> open_;
  std::vector<std::thread> threads_;
};

// ---- Clients

enum class Outcome { Served, Refused, Failed, Closed, NoAnswer };
const char* name_of(Outcome outcome);

struct Answer {
  Outcome outcome = Outcome::NoAnswer;
  std::string value;
  std::string sqlstate;
  double sent_ms = 0;
  double answered_ms = 0;
};

class Client {
public:
  explicit Client(int port, const std::string& user = "portal");
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  bool is_open() const { return fd_ >= 0; }

  int fd() const { return fd_; }

  void close();
  /// Sends a simple query without waiting.
  bool send(const std::string& statement);
  /// Reads one answer.
  Answer receive(double timeout_ms);
  Answer query(const std::string& statement, double timeout_ms);

private:
  int fd_ = -1;
  std::string buffer_;
};

std::string new_id();
std::string read_statement(const std::string& service_class, int deadline_ms, int group,
                           const std::string& code, const std::string& id,
                           const std::string& extra = "");
std::string write_statement(const std::string& service_class, int deadline_ms, int group,
                            const std::string& code, const std::string& id, const std::string& key);

// ---- The gateway

/// The settings of a small deployment: the classes, limits and rules of the pages' example.
struct Deployment {
  std::string token_mode = "kept";
  std::string report_via = "answers";
  bool second_site = false;  ///< The classes and limits of users/USER.md.
  int balancers = 3;
};

std::string settings_json(const Deployment& deployment);

class Gateway {
public:
  /// `members` is the list as this gateway last held it, `operators_file` may be empty.
  Gateway(const Deployment& deployment, const std::string& discovery,
          const std::vector<Listed>& known, const std::string& operators_file);
  ~Gateway();

  int port() const { return port_; }

  pid_t pid() const { return pid_; }

  /// Writes the configuration with another address of discovery. SIGHUP makes it count.
  void set_discovery(const std::string& discovery);
  bool start();
  bool wait_ready(double timeout_ms);
  void signal(int number);
  /// Whether the process has not ended.
  bool is_running();
  /// Ends the process with SIGTERM and, after a while, SIGKILL.
  void stop();
  std::string log_text() const;

private:
  void write_config();
  Deployment deployment_;
  std::string discovery_;
  std::vector<Listed> known_;
  std::string operators_file_;
  std::string folder_;
  int port_ = 0;
  pid_t pid_ = -1;
};

/// A new temporary folder, removed at the end of the program.
std::string temporary_folder();

/// Whether the disruption is left out.
bool without_trouble();

}  // namespace rig

// The one helper of the stories: the built program, stand-in members and clients of both protocols
// on loopback, and the rules that every story ends with. Runs on the main loop; waits are for
// events, with a generous limit.
#pragma once

#include "net/listener.h"
#include "net/stream.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Lives in Release too, where assert does not.
#define CHECK(condition)                                                                           \
  do {                                                                                             \
    if (!(condition)) {                                                                            \
      std::fprintf(stderr, "%s:%d: not so: %s\n", __FILE__, __LINE__, #condition);                 \
      std::exit(1);                                                                                \
    }                                                                                              \
  } while (false)

namespace test_harness {

void until(const std::function<bool()>& condition, const char* what);
void pass(int ms);  // lets so much time go by

// Spoilt ones: Garbage is no protocol; Short claims more than comes; Huge claims 3 GB; Copied is
// good, with a second answer right behind; BadReport is good, with a report and a position that
// cannot be; Endless goes on, in the protocol's words, beyond what an answer may hold.
enum class Fault {
  Serve,
  Miss,
  Error,
  Full,
  Reset,
  Silent,
  Garbage,
  Short,
  Huge,
  Copied,
  BadReport,
  Endless
};
enum class Final { Served, Refused, Failed };

struct Ask {  // one request as a client writes it, and as a member reads it
  std::string id, service_class = "any", key = "k1";
  int wait_ms = 2000;
  bool write = false;
  std::string statement = "";  // PostgreSQL's; empty: one that fits
};

struct Standing {  // of a member in its group: its role, and by how much its position lags
  bool primary = false;
  int behind_ms = 0;
};

// What differs between the protocols, on the stand-ins' side: bytes in and out.
class Protocol {
public:
  virtual ~Protocol() = default;
  virtual const char* name() const = 0;
  virtual std::string client_hello() const = 0;
  virtual std::string client_ask(const Ask& ask) const = 0;
  // Takes one answer off `in`: nothing while it is not whole.
  virtual std::optional<Final> client_answer(std::string& in, std::string& value) const = 0;
  // Takes one message off `in`; `ask` is set for a request, `reply` holds what a greeting or probe
  // gets.
  virtual bool member_message(std::string& in, const Standing& standing, std::optional<Ask>& ask,
                              std::string& reply) const = 0;
  virtual std::string member_answer(Fault fault, const Standing& standing,
                                    const std::string& value) const = 0;
  virtual std::string member_notice() const = 0;  // a whole message that nobody asked for
};

const Protocol& postgres();
const Protocol& mongo();

class Stage;

class Member {  // listens, and does as the script says
public:
  Member(Stage& stage, std::string name, bool listed_primary, bool primary);
  std::string name, address, state = "up";
  bool listed_primary;
  Standing standing;
  int requests = 0;
  int probes = 0;               // written behind a greeting
  std::size_t value_bytes = 0;  // its values are that long at least
  bool holds_greetings =
      false;  // a new connection gets no answer to its greeting until they are given
  std::size_t greetings_held() const;
  void give_greetings();  // and none is held from then on
  int forgets_ms = 0;     // resets a connection that rested for so long at its next message, if set
  int forgotten = 0;      // how often it did
  int connections() const;             // open ones
  void say(const std::string& bytes);  // unasked, on each open connection
  void drop_connections();             // ends those that are open, and goes on listening
  void die();                          // resets its connections and refuses new ones

private:
  struct Link;
  void accept(gorsebeam::net::SocketHandle socket);
  Stage& stage_;
  gorsebeam::net::Listener listener_;
  std::list<std::shared_ptr<Link>> links_;
};

class Client : gorsebeam::net::Stream::Events {
public:
  Client(Stage& stage, const std::string& address);

  void write(const std::string& bytes) { stream_->write({bytes}); }

  void ask(const Ask& ask);
  Final answer();  // waits for the next one

  Final answer_to(const Ask& question) {
    ask(question);
    return answer();
  }

  void hang_up() { stream_->close(); }

  bool flushed() const { return stream_->all_written(); }

  // Deaf, it reads nothing, not even the end.
  void deaf(bool deaf) { deaf ? stream_->pause_reading() : stream_->resume_reading(); }

  void half_close() { stream_->shut_down_sending(); }  // its sending side ends; it goes on reading

  std::string value;  // the last one served
  std::string input;  // bytes not taken for an answer
  bool ended_by_gateway = false;
  std::string end;  // how, as the socket tells
  std::deque<Final> answers;

private:
  void received() override;

  void ended(const std::string& why) override { ended_by_gateway = true, end = why; }

  Stage& stage_;
  std::shared_ptr<gorsebeam::net::Stream> stream_;
};

struct Site {            // what the platform's configuration says
  int dial_ms = 250;     // the longest that a connection to a member may take
  int window_ms = 2000;  // for which a keyed class's group drops repeats
  int aim_ms = 2000;     // of each class; a second later its clients give up
  std::string listen = "127.0.0.1:0";
};

class Stage {
public:
  // Members of group 0 in the order given, the first listed as primary; `primary` tells who is.
  Stage(const Protocol& protocol, std::size_t members, std::size_t primary,
        const std::string& more = "");
  ~Stage();
  void start();
  std::unique_ptr<Client> client();          // connected and greeted
  std::unique_ptr<Client> stranger();        // connected, no more
  void write_file(const std::string& more);  // the operators' file, with so much more in it
  void write_inventory();           // with the members' states; a running program reads it again
  void set_site(const Site& site);  // before start
  void use_discovery(
      const std::string& agent);  // before start: the list comes from there, not from a file
  // Writes a configuration, has it read again and waits for the log line.
  void reload(const std::string& agent, const std::string& told);
  void signal(int number);
  // From when it returns to go_on the program does nothing, and what comes for it waits in the
  // kernel.
  void freeze();

  void go_on() { signal(SIGCONT); }

  const std::string& address() const { return address_; }  // of the front

  std::size_t threads() const;  // of the program, now
  void take_address();          // where the program says last that it listens
  void await_log(const std::string& text, std::size_t from = 0);
  int exit_code();  // waits for the program's end

  bool running() const { return !exited_; }

  void check_rules();  // of all that went by

  const Protocol& protocol;
  std::vector<std::unique_ptr<Member>> members;
  std::deque<Fault> script;          // one for each attempt of a request; then Serve
  std::string log;                   // what the program wrote
  std::string listen = "127.0.0.1";  // of the second front, in the operators' file

  struct Attempt {
    Ask ask;
    Member* member;
    bool out, may_have_run;
  };

  std::vector<Attempt> attempts;
  std::map<std::string, int> asked;
  int answered = 0;  // final answers that clients have had

private:
  void take_log();
  std::string folder_, address_;
  Site site_;
  GPid pid_ = 0;
  int log_fd_ = -1, status_ = 0;
  bool exited_ = false;
};

// Discovery's agent, as a stand-in: one watch at a time, chunked, an object a line.
class Agent : gorsebeam::net::Stream::Events {
public:
  Agent();
  void send(const std::string& line);  // as a chunk
  // The list of group 0, as the stage's members stand.
  static std::string text(const Stage& stage, int revision);
  void list(const Stage& stage, int revision);
  void welcome();  // awaits the call and begins a chunked answer
  void call();     // awaits it, no more
  void reset();    // breaks the connection under the answer
  std::string asked;
  std::shared_ptr<gorsebeam::net::Stream> stream;
  int calls = 0;
  gorsebeam::net::Listener listener;

private:
  void received() override;

  void ended(const std::string&) override {}

  int fd_ = -1;
};

// Questions as most stories ask them, and what is told of them.
Ask read(const std::string& id, int wait_ms = 2000);
Ask save(const std::string& id);
int attempts_of(const Stage& stage, const std::string& id);
void reads_served(Client& client, const std::string& name, int count);
void finish(Stage& stage);  // the rules held, and the program still runs

// Runs the program to its end; for files that it must refuse.
int run_program(const std::vector<std::string>& arguments, std::string& output);
std::string write_config(const std::string& folder, const std::string& discovery,
                         const Site& site = {});
std::string temporary_folder();

}  // namespace test_harness

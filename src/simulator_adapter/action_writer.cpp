#include "action_writer.h"

#include "logging/log_record.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <variant>

namespace gorsebeam::simulator_adapter {
namespace {

/// Builds one line, {"NAME":{"router_id":ID,...}}, and appends it to the reply on destruction.
class LineBuilder {
public:
  LineBuilder(std::string& reply, const char* name, std::int64_t router_id)
      : reply_(reply), writer_(buffer_) {
    writer_.StartObject();
    writer_.Key(name);
    writer_.StartObject();
    add_integer("router_id", router_id);
  }

  LineBuilder(const LineBuilder&) = delete;
  LineBuilder& operator=(const LineBuilder&) = delete;
  LineBuilder(LineBuilder&&) = delete;
  LineBuilder& operator=(LineBuilder&&) = delete;

  ~LineBuilder() {
    writer_.EndObject();
    writer_.EndObject();
    reply_.append(buffer_.GetString(), buffer_.GetSize());
    reply_.push_back('\n');
  }

  void add_integer(const char* name, std::int64_t value) {
    writer_.Key(name);
    writer_.Int64(value);
  }

  void add_string(const char* name, const std::string& value) {
    writer_.Key(name);
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
  }

  void add_bool(const char* name, bool value) {
    writer_.Key(name);
    writer_.Bool(value);
  }

private:
  std::string& reply_;
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> writer_;
};

/// Writes one action; there is an overload for each type. The literals are names of the simulator's
/// protocol.
class ActionWriter {
public:
  ActionWriter(std::string& reply, std::int64_t router_id) : reply_(reply), router_id_(router_id) {}

  void operator()(const StartAttempt& start) const {
    LineBuilder line(reply_, "CALL_OUT", router_id_);
    line.add_string("op_id", start.request_id);
    line.add_integer("give_up_after", start.timeout.count());
    line.add_integer("node", start.endpoint);
  }

  void operator()(const SendHealthCheck& check) const {
    LineBuilder(reply_, "HEALTH_CHECK", router_id_).add_integer("node", check.endpoint);
  }

  void operator()(const CancelAttempt& cancel) const {
    LineBuilder line(reply_, "STOP_ATTEMPT", router_id_);
    line.add_string("op_id", cancel.request_id);
    line.add_integer("try", cancel.attempt);
  }

  void operator()(const RejectRequest& reject) const {
    LineBuilder line(reply_, "BUSY", router_id_);
    line.add_string("op_id", reject.request_id);
    if (reject.retry_after > 0ms)
      line.add_integer("hold_off", reject.retry_after.count());
  }

  void operator()(const FailRequest& fail) const {
    LineBuilder(reply_, "FAIL", router_id_).add_string("op_id", fail.request_id);
  }

  void operator()(const SetTimer& timer) const {
    LineBuilder line(reply_, "SET_ALARM", router_id_);
    line.add_integer("token", 0);
    line.add_integer("moment", timer.at.time_since_epoch().count());
  }

  void operator()(const WatchEndpoints& /*watch*/) const {
    LineBuilder(reply_, "OBSERVE", router_id_).add_bool("on", true);
  }

  void operator()(const LogMessage& message) const {
    LineBuilder(reply_, "RECORD", router_id_)
        .add_string("note_text", logging::to_text(logging::to_record(message)));
  }

private:
  std::string& reply_;
  std::int64_t router_id_;
};

}  // namespace

void write_actions(const std::vector<Action>& actions, std::int64_t router_id, std::string& reply) {
  const ActionWriter writer(reply, router_id);
  for (const Action& action : actions)
    std::visit(writer, action);
}

}  // namespace gorsebeam::simulator_adapter

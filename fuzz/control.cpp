// What a control service may send: bytes of HTTP/2, of gRPC's framing, and of xDS's messages,
// through everything that reads them in the gateway, up to the version machine. The first byte
// tells at which of the three the rest comes in.
#include "config/conversion.h"
#include "config_versions/version_tracker.h"
#include "grpc/session.h"
#include "xds/xds.h"

#include <cstdint>
#include <cstdlib>
#include <memory>

namespace {

using namespace gorsebeam;

config::ValidationContext site() {
  config::ValidationContext s;
  s.classes = {{"any", 0}, {"save", 1}};
  s.postgres_listed = true;
  s.mongo_enabled = true;
  return s;
}

// A machine that holds its promise whatever is offered: what runs fits together.
class Taker {
public:
  Taker()
      : machine_(settings(), [this](const config_versions::Bodies& b) {
          return judge(b);
        }) {
    machine_.file_at_start({xds::version_of(config::pb::Contracts()),
                            xds::version_of(config::pb::Members()),
                            xds::version_of(config::pb::Limits())});
    machine_.begin(1, actions_);
    machine_.connected(1, actions_);
  }

  void message(const std::string& bytes) {
    const auto offer = xds::read_response(bytes, site_);
    if (!offer)
      return;
    actions_.clear();
    machine_.offered(++now_, *offer, actions_);
    for (const config_versions::Action& action : actions_) {
      if (const auto* ask = std::get_if<config_versions::Ask>(&action))
        xds::request(*ask, "node", "cluster");
      if (const auto* run = std::get_if<config_versions::Run>(&action)) {
        if (judge(run->bodies))
          std::abort();
        config::to_contract_set(xds::contracts_of(run->bodies[0]), site_.classes);
        config::to_endpoints(xds::members_of(run->bodies[1]).postgres());
      }
    }
  }

private:
  static config_versions::Settings settings() {
    config_versions::Settings s;
    s.addresses = {"127.0.0.1:1"};
    return s;
  }

  std::optional<config_versions::Misfit> judge(const config_versions::Bodies& b) const {
    const auto fault =
        config::validate_group_references(xds::contracts_of(b[0]), xds::members_of(b[1]), site_);
    if (!fault)
      return std::nullopt;
    return config_versions::Misfit{fault->to_string(), fault->is_missing_reference};
  }

  config::ValidationContext site_ = site();
  config_versions::Machine machine_;
  config_versions::Actions actions_;
  config_versions::Nanos now_ = 1;
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0)
    return 0;
  const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
  Taker taker;
  std::string message;
  if (data[0] % 3 == 0) {
    taker.message(std::string(bytes));
  } else if (data[0] % 3 == 1) {
    grpc::Reader reader;
    for (std::size_t at = 0; at < bytes.size(); at += 7) {  // in pieces
      reader.feed(bytes.substr(at, 7));
      while (reader.next(message) == grpc::Reader::Step::Whole)
        taker.message(message);
    }
  } else {
    grpc::Session session("127.0.0.1:1", xds::kPath);
    std::int64_t now = 0;
    while (!session.output().empty()) {
    }
    for (std::size_t at = 0; at < bytes.size() && session.fault().empty(); at += 64) {
      session.feed(bytes.substr(at, 64), now += 1'000'000);
      while (session.next(message))
        taker.message(message);
      while (!session.output().empty()) {
      }
    }
  }
  return 0;
}

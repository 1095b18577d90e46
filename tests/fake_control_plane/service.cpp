#include "service.h"

#include "ads.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <list>
#include <mutex>

namespace fake_control_plane {

using gorsebeam::net::Listener;
using gorsebeam::net::SocketHandle;
using gorsebeam::net::Stream;
namespace xds = gorsebeam::xds::v3;
namespace ads = envoy::service::discovery::v3;

struct ControlService::Self : ads::AggregatedDiscoveryService::Service {
  using Call = grpc::ServerReaderWriter<xds::DiscoveryResponse, xds::DiscoveryRequest>;

  grpc::Status StreamAggregatedResources(grpc::ServerContext* context, Call* call) override {
    {
      const std::lock_guard<std::mutex> lock(mutex);
      current_call = call;
      current_context = context;
      stream_status = grpc::Status::OK;
      ++streams;
    }
    xds::DiscoveryRequest request;
    while (call->Read(&request)) {
      const std::lock_guard<std::mutex> lock(mutex);
      heard.push_back({request.type_url(), request.version_info(), request.response_nonce(),
                       request.error_detail().message(), request.node().id()});
    }
    const std::lock_guard<std::mutex> lock(mutex);
    if (current_call == call) {
      current_call = nullptr;
      current_context = nullptr;
    }
    return stream_status;
  }

  mutable std::mutex mutex;
  Call* current_call = nullptr;
  grpc::ServerContext* current_context = nullptr;
  grpc::Status stream_status;
  std::vector<ReceivedRequest> heard;
  int streams = 0;
  int nonces = 0;
  int port = 0;
  std::unique_ptr<grpc::Server> server;
};

ControlService::ControlService() : self_(std::make_unique<Self>()) {
  grpc::ServerBuilder builder;
  builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &self_->port);
  builder.RegisterService(self_.get());
  builder.SetMaxSendMessageSize(64 << 20);
  self_->server = builder.BuildAndStart();
  test_harness::require(self_->server && self_->port > 0, "the control service cannot listen");
}

ControlService::~ControlService() {
  shut_down();
}

void ControlService::shut_down() {
  if (!self_->server)
    return;
  self_->server->Shutdown(std::chrono::system_clock::now());
  self_->server.reset();
}

std::string ControlService::address() const {
  return "127.0.0.1:" + std::to_string(self_->port);
}

int ControlService::stream_count() const {
  const std::lock_guard<std::mutex> lock(self_->mutex);
  return self_->streams;
}

bool ControlService::has_open_stream() const {
  const std::lock_guard<std::mutex> lock(self_->mutex);
  return self_->current_call != nullptr;
}

std::vector<ReceivedRequest> ControlService::received_requests() const {
  const std::lock_guard<std::mutex> lock(self_->mutex);
  return self_->heard;
}

std::string ControlService::push(const std::vector<const google::protobuf::Message*>& resources,
                          const std::string& version, const std::string& type_url) {
  xds::DiscoveryResponse response;
  response.set_version_info(version);
  for (const auto* resource : resources)
    response.add_resources()->PackFrom(*resource);
  response.set_type_url(!type_url.empty() ? type_url : response.resources(0).type_url());
  const std::lock_guard<std::mutex> lock(self_->mutex);
  response.set_nonce("n" + std::to_string(++self_->nonces));
  if (self_->current_call)
    self_->current_call->Write(response);
  return response.nonce();
}

std::string ControlService::await_ack(const std::string& nonce) const {
  const auto find = [&] {
    std::vector<ReceivedRequest> found;
    for (const ReceivedRequest& request : received_requests())
      if (h.nonce == nonce)
        found.push_back(h);
    return found;
  };
  test_harness::wait_until(
      [&] {
        return !find().empty();
      },
      "the answer to " + nonce);
  test_harness::require(find().size() == 1, "the gateway responded twice to " + nonce);
  return find()[0].error;
}

void ControlService::end(int code, const std::string& words) {
  const std::lock_guard<std::mutex> lock(self_->mutex);
  test_harness::require(self_->current_context != nullptr, "no stream is open");
  self_->stream_status = grpc::Status(static_cast<grpc::StatusCode>(code), words);
  self_->current_context->TryCancel();
}

// ---- FaultyProxy

struct FaultyProxy::Pair {
  struct End : Stream::Events {
    explicit End(Pair& pair, bool service) : pair(pair), service(service) {}

    Pair& pair;
    bool service;  // the side that the service is on
    std::shared_ptr<Stream> stream;

    void received() override { pair.carry(*this); }

    void ended(const std::string&) override { pair.end(); }
  };

  Pair(FaultyProxy::Self& cable, SocketHandle socket, const std::string& to) : cable(cable) {
    near.stream = Stream::adopt(std::move(socket), near);
    far.stream = Stream::connect(to, far);
  }

  void carry(End& from);

  void end() {
    near.stream->close();
    far.stream->close();
  }

  FaultyProxy::Self& cable;
  End near{*this, false};
  End far{*this, true};
};

struct FaultyProxy::Self {
  std::list<std::unique_ptr<Pair>> pairs;
  std::string to;
  bool silent = false;
  std::optional<std::size_t> left;
  int connections = 0;
  Listener listener{[this](SocketHandle socket) {
    ++connections;
    pairs.push_back(std::make_unique<Pair>(*this, std::move(socket), to));
  }};
};

void FaultyProxy::Pair::carry(End& from) {
  std::string bytes(from.stream->input().view());
  from.stream->input().consume(bytes.size());
  if (cable.silent)
    return;
  const bool cut = from.service && cable.left && bytes.size() >= *cable.left;
  if (cut)
    bytes.resize(*cable.left);
  if (from.service && cable.left)
    *cable.left -= bytes.size();
  End& to = from.service ? near : far;
  if (!bytes.empty())
    to.stream->write({bytes});
  if (!cut)
    return;
  cable.left.reset();
  end();
}

FaultyProxy::FaultyProxy(const std::string& to) : self_(std::make_unique<Self>()) {
  self_->to = to;
  const auto error = self_->listener.listen("127.0.0.1:0");
  test_harness::require(!error,
                        error ? "a stand-in cannot listen: " + error->message : std::string());
}

FaultyProxy::~FaultyProxy() = default;

std::string FaultyProxy::address() const {
  return self_->listener.address();
}

void FaultyProxy::disconnect_after(std::size_t bytes) {
  self_->left = bytes;
}

void FaultyProxy::silence(bool on) {
  self_->silent = on;
}

int FaultyProxy::connection_count() const {
  return self_->connections;
}

// ---- ScriptedPeer

struct ScriptedPeer::Link : Stream::Events {
  Link(ScriptedPeer::Self& script, SocketHandle socket, const std::string& bytes)
      : script(script), stream(Stream::adopt(std::move(socket), *this)) {
    stream->write({bytes});
  }

  void received() override { stream->input().consume(stream->input().size()); }

  void ended(const std::string&) override;
  ScriptedPeer::Self& script;
  std::shared_ptr<Stream> stream;
};

struct ScriptedPeer::Self {
  std::string bytes;
  std::list<std::unique_ptr<Link>> links;
  int ended = 0;
  Listener listener{[this](SocketHandle socket) {
    links.push_back(std::make_unique<Link>(*this, std::move(socket), bytes));
  }};
};

void ScriptedPeer::Link::ended(const std::string&) {
  ++script.ended;
}

ScriptedPeer::ScriptedPeer(std::string bytes) : self_(std::make_unique<Self>()) {
  self_->bytes = std::move(bytes);
  const auto error = self_->listener.listen("127.0.0.1:0");
  test_harness::require(!error,
                        error ? "a stand-in cannot listen: " + error->message : std::string());
}

ScriptedPeer::~ScriptedPeer() = default;

std::string ScriptedPeer::address() const {
  return self_->listener.address();
}

int ScriptedPeer::connection_count() const {
  return static_cast<int>(self_->links.size());
}

int ScriptedPeer::ended() const {
  return self_->ended;
}

std::string http2_frame(int type, int flags, int stream, const std::string& payload) {
  std::string bytes;
  for (int shift = 16; shift >= 0; shift -= 8)
    bytes += static_cast<char>(payload.size() >> shift & 0xff);
  bytes += static_cast<char>(type);
  bytes += static_cast<char>(flags);
  for (int shift = 24; shift >= 0; shift -= 8)
    bytes += static_cast<char>(stream >> shift & 0xff);
  return bytes + payload;
}

std::string http2_settings_frame() {
  return http2_frame(4, 0, 0, "");
}

std::string http2_grpc_headers_frame() {
  // HPACK: ":status 200" is entry 8 of the static table; "content-type" is 31, its value a literal
  // without indexing.
  const std::string type = "application/grpc";
  return http2_frame(1, 4, 1, std::string("\x88\x0f\x10", 3) + static_cast<char>(type.size()) + type);
}

}  // namespace fake_control_plane

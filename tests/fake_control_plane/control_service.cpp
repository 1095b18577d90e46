#include "control_service.h"

#include "integration/event_wait.h"

#include "ads.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <mutex>

namespace fake_control_plane {

namespace xds = gorsebeam::xds::v3;
namespace ads = envoy::service::discovery::v3;

/// The gRPC service and its server. `mutex` guards all members except `port` and `grpc_server`.
struct ControlService::Server : ads::AggregatedDiscoveryService::Service {
  using Call = grpc::ServerReaderWriter<xds::DiscoveryResponse, xds::DiscoveryRequest>;

  grpc::Status StreamAggregatedResources(grpc::ServerContext* context, Call* call) override {
    begin_stream(context, call);
    xds::DiscoveryRequest request;
    while (call->Read(&request)) {
      const std::lock_guard<std::mutex> lock(mutex);
      received_requests.push_back({request.type_url(), request.version_info(),
                                   request.response_nonce(), request.error_detail().message(),
                                   request.node().id()});
    }
    const std::lock_guard<std::mutex> lock(mutex);
    if (current_call == call) {
      current_call = nullptr;
      current_context = nullptr;
    }
    return stream_status;
  }

  void begin_stream(grpc::ServerContext* context, Call* call) {
    const std::lock_guard<std::mutex> lock(mutex);
    current_call = call;
    current_context = context;
    stream_status = grpc::Status::OK;
    ++stream_count;
  }

  mutable std::mutex mutex;
  Call* current_call = nullptr;
  grpc::ServerContext* current_context = nullptr;
  grpc::Status stream_status;
  std::vector<ReceivedRequest> received_requests;
  int stream_count = 0;
  int last_nonce = 0;
  int port = 0;
  std::unique_ptr<grpc::Server> grpc_server;
};

ControlService::ControlService() : server_(std::make_unique<Server>()) {
  constexpr int kMaxSendMessageBytes = 64 << 20;
  grpc::ServerBuilder builder;
  builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &server_->port);
  builder.RegisterService(server_.get());
  builder.SetMaxSendMessageSize(kMaxSendMessageBytes);
  server_->grpc_server = builder.BuildAndStart();
  test_harness::require(server_->grpc_server && server_->port > 0,
                        "the fake control service cannot listen on 127.0.0.1");
}

ControlService::~ControlService() {
  shut_down();
}

void ControlService::shut_down() {
  if (!server_->grpc_server)
    return;
  server_->grpc_server->Shutdown(std::chrono::system_clock::now());
  server_->grpc_server.reset();
}

std::string ControlService::address() const {
  return "127.0.0.1:" + std::to_string(server_->port);
}

int ControlService::stream_count() const {
  const std::lock_guard<std::mutex> lock(server_->mutex);
  return server_->stream_count;
}

bool ControlService::has_open_stream() const {
  const std::lock_guard<std::mutex> lock(server_->mutex);
  return server_->current_call != nullptr;
}

std::vector<ReceivedRequest> ControlService::received_requests() const {
  const std::lock_guard<std::mutex> lock(server_->mutex);
  return server_->received_requests;
}

std::vector<ReceivedRequest> ControlService::requests_with_nonce(const std::string& nonce) const {
  const std::vector<ReceivedRequest> all = received_requests();
  std::vector<ReceivedRequest> found;
  std::copy_if(all.begin(), all.end(), std::back_inserter(found),
               [&nonce](const ReceivedRequest& request) {
                 return request.nonce == nonce;
               });
  return found;
}

std::string ControlService::push(const std::vector<const google::protobuf::Message*>& resources,
                                 const std::string& version, const std::string& type_url) {
  xds::DiscoveryResponse response;
  response.set_version_info(version);
  for (const auto* resource : resources)
    response.add_resources()->PackFrom(*resource);
  response.set_type_url(!type_url.empty() ? type_url : response.resources(0).type_url());
  const std::lock_guard<std::mutex> lock(server_->mutex);
  ++server_->last_nonce;
  response.set_nonce("n" + std::to_string(server_->last_nonce));
  if (server_->current_call)
    server_->current_call->Write(response);
  return response.nonce();
}

std::string ControlService::await_ack(const std::string& nonce) const {
  test_harness::wait_until(
      [&] {
        return !requests_with_nonce(nonce).empty();
      },
      "the ACK or NACK of nonce " + nonce);
  const std::vector<ReceivedRequest> found = requests_with_nonce(nonce);
  test_harness::require(found.size() == 1, "the gateway answered nonce " + nonce + " " +
                                               std::to_string(found.size()) +
                                               " times instead of once");
  return found.front().error;
}

void ControlService::end_stream(int status_code, const std::string& status_message) {
  const std::lock_guard<std::mutex> lock(server_->mutex);
  test_harness::require(server_->current_context != nullptr,
                        "the fake control service has no open stream to end");
  server_->stream_status = grpc::Status(static_cast<grpc::StatusCode>(status_code), status_message);
  server_->current_context->TryCancel();
}

}  // namespace fake_control_plane

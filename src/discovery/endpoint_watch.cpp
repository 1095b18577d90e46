#include "endpoint_watch.h"

#include "common/flag_scope.h"
#include "net/log.h"

#include <string_view>
#include <utility>

namespace gorsebeam::discovery {

EndpointWatch::EndpointWatch(proxy::RequestBroker& broker, std::string address,
                             EndpointListDocument initial_list, ReconnectBackoff reconnect_backoff)
    : broker_(broker), address_(std::move(address)), revision_(initial_list.revision),
      silence_timer_([this] {
        check_silence();
      }),
      reconnect_timer_([this] {
        start();
      }),
      reconnect_backoff_(reconnect_backoff) {
  revision_filter_.remove_outdated(initial_list, ListOrder::FirstOfWatch);
  broker_.update_endpoints(EndpointList::Kind::Cached, initial_list.endpoints);
}

void EndpointWatch::start() {
  reconnect_timer_.stop();
  is_reading_ = false;
  response_ = HttpResponseParser(JsonObjectSplitter::kMaxObjectSize);
  next_list_ = ListOrder::FirstOfWatch;
  body_.clear();
  last_progress_at_ = net::now();
  silence_timer_.after(reconnect_backoff_.silence_timeout());
  stream_ = net::Stream::connect(address_, *this);
  if (!stream_)
    schedule_reconnect("cannot open a connection to '" + address_ + "'");
}

void EndpointWatch::stop() {
  silence_timer_.stop();
  reconnect_timer_.stop();
  if (stream_)
    stream_->close();
}

// The broker may call this function again while it is passed a list that this function has read.
void EndpointWatch::read_pending() {
  if (is_reading_)
    return;
  if (reconnect_timer_.is_due())
    start();
  if (stream_ && stream_->is_open())
    stream_->process_pending();
}

void EndpointWatch::check_silence() {
  const TimePoint last_progress_at = last_progress_at_;
  read_pending();
  const bool is_still_open = stream_ && stream_->is_open();
  if (is_still_open && last_progress_at_ == last_progress_at)
    schedule_reconnect("silent", WatchEnd::Silent);
}

void EndpointWatch::change_address(const std::string& address) {
  if (address == address_)
    return;
  read_pending();
  stop();
  address_ = address;
  // Revisions of the two addresses may not be comparable, so the whole list is requested.
  revision_ = 0;
  revision_filter_.start_new_epoch();
  reconnect_backoff_.reset();
  start();
}

void EndpointWatch::schedule_reconnect(const std::string& reason, WatchEnd end) {
  const bool has_unread = stream_ && stream_->is_readable();
  net::log({"endpoint_watch_closed",
            {{"reason", reason},
             {"idle_ms", std::to_string((net::now() - last_progress_at_) / 1ms)},
             {"unread", has_unread ? "yes" : "no"}}});
  stop();
  reconnect_timer_.after(reconnect_backoff_.next_delay(end));
}

void EndpointWatch::connected() {
  const std::string request = "GET /api/targets?watch=1&from=" + std::to_string(revision_) +
                              " HTTP/1.1\r\nHost: " + address_ +
                              "\r\nAccept: application/json\r\n\r\n";
  stream_->write({request});
  net::log(
      {"endpoint_watch_opened", {{"address", address_}, {"revision", std::to_string(revision_)}}});
}

void EndpointWatch::ended(const std::string& reason) {
  schedule_reconnect(reason);
}

// The router gets all lists that have arrived before it decides: between two of them it would send
// to an endpoint that the second one lists as draining.
void EndpointWatch::received() {
  const proxy::RequestBroker::EventBatch batch(broker_);
  last_progress_at_ = net::now();
  {
    const common::FlagScope reading(is_reading_);
    read_response();
  }
  // The timeout may have changed: it depends on whether the watch has delivered a list.
  if (stream_->is_open())
    silence_timer_.after(reconnect_backoff_.silence_timeout());
}

void EndpointWatch::read_response() {
  HttpResponseParser::Output output;
  do {
    output = response_.parse(stream_->input().view());
    if (output.error) {
      schedule_reconnect(to_string(*output.error));
      return;
    }
    body_.add(output.body);
    stream_->input().consume(output.consumed_bytes);
  } while (output.status == HttpResponseParser::Status::Progress);
  apply_lists();
  if (output.status == HttpResponseParser::Status::Ended && stream_->is_open())
    schedule_reconnect("discovery ended the response");
}

void EndpointWatch::apply_lists() {
  while (true) {
    const JsonObjectSplitter::Output output = body_.next();
    if (output.status == JsonObjectSplitter::Status::NeedsInput)
      return;
    auto list = output.status == JsonObjectSplitter::Status::Object
                    ? parse_endpoint_list_text(output.object)
                    : EndpointListError{"not JSON"};
    if (!list) {
      // The changes in the rejected list are unknown, so the next watch requests the whole list.
      revision_ = 0;
      schedule_reconnect(list.error().message);
      return;
    }
    apply(std::move(list.value()));
  }
}

void EndpointWatch::apply(EndpointListDocument list) {
  const std::int64_t revision = list.revision;
  const std::size_t entries = list.endpoints.size();
  revision_filter_.remove_outdated(list, std::exchange(next_list_, ListOrder::Later));
  net::log({"endpoint_list_received",
            {{"revision", std::to_string(revision)},
             {"complete", list.complete ? "yes" : "no"},
             {"entries", std::to_string(entries)},
             {"outdated", std::to_string(entries - list.endpoints.size())}}});
  revision_ = revision_filter_.revision();
  reconnect_backoff_.record_list_received();
  const EndpointList::Kind kind =
      list.complete ? EndpointList::Kind::Full : EndpointList::Kind::Delta;
  broker_.update_endpoints(kind, list.endpoints);
}

}  // namespace gorsebeam::discovery

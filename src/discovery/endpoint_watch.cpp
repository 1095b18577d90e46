#include "endpoint_watch.h"

#include "net/log.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

namespace gorsebeam::discovery {
namespace {

constexpr std::size_t kMaxHeadSize = 16 * 1024;
constexpr std::size_t kMaxChunkSizeLine = 64;
constexpr std::size_t kMaxLoggedStatusLine = 80;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kVersion = "HTTP/1.1 ";
constexpr std::string_view kOk = "200";

bool has_ok_status(std::string_view head) {
  return head.substr(0, kVersion.size()) == kVersion &&
         head.substr(kVersion.size(), kOk.size()) == kOk;
}

bool is_chunked(std::string_view head) {
  std::string lower(head);
  for (char& c : lower)
    c = g_ascii_tolower(c);
  return lower.find("transfer-encoding: chunked") != std::string::npos;
}

/// Throws settings::FormatError.
EndpointListDocument parse_list(const JsonObjectSplitter::Output& output) {
  rapidjson::Document document;
  if (output.status == JsonObjectSplitter::Status::Object)
    document.Parse(output.object.data(), output.object.size());
  if (output.status == JsonObjectSplitter::Status::Malformed || document.HasParseError())
    throw settings::FormatError("not JSON");
  return parse_endpoint_list(document, "discovery's list");
}

}  // namespace

EndpointWatch::EndpointWatch(proxy::RequestBroker& broker, std::string address,
                             EndpointListDocument known, ReconnectBackoff reconnect_backoff)
    : broker_(broker), address_(std::move(address)), revision_(known.revision),
      silence_timer_([this] {
        check_silence();
      }),
      reconnect_timer_([this] {
        start();
      }),
      reconnect_backoff_(reconnect_backoff) {
  revision_filter_.remove_outdated(known, ListOrder::FirstOfWatch);
  broker_.update_endpoints(EndpointList::Kind::Cached, known.endpoints);
}

void EndpointWatch::start() {
  reconnect_timer_.stop();
  reconnect_at_ = kNotReconnecting;
  is_reading_ = false;
  response_state_ = ResponseState::Head;
  next_list_ = ListOrder::FirstOfWatch;
  body_.clear();
  last_progress_at_ = net::now();
  silence_timer_.after(reconnect_backoff_.silence_timeout());
  stream_ = net::Stream::connect(address_, *this);
  if (!stream_)
    schedule_reconnect("no socket");
}

void EndpointWatch::stop() {
  silence_timer_.stop();
  reconnect_timer_.stop();
  reconnect_at_ = kNotReconnecting;
  if (stream_)
    stream_->close();
}

// The lists that are read go to the broker, which may ask for more of them before it decides.
void EndpointWatch::read_pending() {
  if (is_reading_)
    return;
  if (net::now() >= reconnect_at_)
    start();
  if (stream_ && stream_->open())
    stream_->process_pending();
}

void EndpointWatch::check_silence() {
  const TimePoint last_progress_at = last_progress_at_;
  read_pending();
  const bool is_still_open = stream_ && stream_->open();
  if (is_still_open && last_progress_at_ == last_progress_at)
    schedule_reconnect("silent", WatchEnd::Silent);
}

void EndpointWatch::change_address(const std::string& address) {
  if (address == address_)
    return;
  read_pending();
  stop();
  address_ = address;
  // The new address may count revisions differently, so the whole list is asked for.
  revision_ = 0;
  revision_filter_.start_new_epoch();
  reconnect_backoff_.reset();
  start();
}

void EndpointWatch::schedule_reconnect(const std::string& reason, WatchEnd end) {
  const bool has_unread = stream_ && stream_->readable();
  net::log({"endpoint_watch_closed",
            {{"reason", reason},
             {"idle_ms", std::to_string((net::now() - last_progress_at_) / 1ms)},
             {"unread", has_unread ? "yes" : "no"}}});
  stop();
  reconnect_at_ = net::now() + reconnect_backoff_.next_delay(end);
  reconnect_timer_.at(reconnect_at_);
}

void EndpointWatch::connected() {
  const std::string request = "GET /api/targets?watch=1&from=" + std::to_string(revision_) +
                              " HTTP/1.1\r\nHost: " + address_ +
                              "\r\nAccept: application/json\r\n\r\n";
  stream_->write({request});
  net::log(
      {"endpoint_watch_opened", {{"address", address_}, {"revision", std::to_string(revision_)}}});
}

void EndpointWatch::ended(const std::string& why) {
  schedule_reconnect(why);
}

void EndpointWatch::received() {
  last_progress_at_ = net::now();
  is_reading_ = true;
  read_response();
  is_reading_ = false;
  // The timeout depends on whether a list has arrived.
  if (stream_->open())
    silence_timer_.after(reconnect_backoff_.silence_timeout());
}

void EndpointWatch::read_response() {
  if (response_state_ == ResponseState::Head && !read_head())
    return;
  if (response_state_ == ResponseState::PlainBody) {
    body_.add(stream_->input().view());
    stream_->input().consume(stream_->input().size());
  }
  if (response_state_ == ResponseState::ChunkedBody) {
    while (stream_->open() && read_chunk()) {
    }
  }
  if (stream_->open())
    apply_lists();
}

bool EndpointWatch::read_head() {
  const std::string_view input = stream_->input().view();
  const std::size_t end = input.find(kHeadEnd);
  if (end == std::string_view::npos) {
    if (input.size() > kMaxHeadSize)
      schedule_reconnect("the answer's head is too long");
    return false;
  }
  if (!has_ok_status(input)) {
    const std::size_t length = std::min(input.find('\r'), kMaxLoggedStatusLine);
    schedule_reconnect("answered " + std::string(input.substr(0, length)));
    return false;
  }
  response_state_ =
      is_chunked(input.substr(0, end)) ? ResponseState::ChunkedBody : ResponseState::PlainBody;
  stream_->input().consume(end + kHeadEnd.size());
  return true;
}

bool EndpointWatch::read_chunk() {
  const std::string_view input = stream_->input().view();
  const std::size_t line = input.find(kLineEnd);
  if (line == std::string_view::npos) {
    if (input.size() > kMaxChunkSizeLine)
      schedule_reconnect("a malformed chunk");
    return false;
  }
  std::size_t size = 0;
  const auto [end, error] = std::from_chars(input.data(), input.data() + line, size, 16);
  const bool is_number = error == std::errc() && end != input.data();
  if (!is_number || size > JsonObjectSplitter::kMaxObjectSize) {
    schedule_reconnect("a malformed chunk");
    return false;
  }
  const std::size_t begin = line + kLineEnd.size();
  const std::size_t chunk_size = begin + size + kLineEnd.size();
  if (input.size() < chunk_size)
    return false;
  if (size == 0) {
    apply_lists();
    if (stream_->open())
      schedule_reconnect("the answer ended");
    return false;
  }
  body_.add(input.substr(begin, size));
  stream_->input().consume(chunk_size);
  return true;
}

void EndpointWatch::apply_lists() {
  while (true) {
    const JsonObjectSplitter::Output output = body_.next();
    if (output.status == JsonObjectSplitter::Status::NeedsInput)
      return;
    try {
      apply(parse_list(output));
    } catch (const settings::FormatError& error) {
      // What was missed cannot be known: the whole list is asked for again.
      revision_ = 0;
      schedule_reconnect(error.what());
      return;
    }
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
  reconnect_backoff_.record_list();
  const EndpointList::Kind kind =
      list.complete ? EndpointList::Kind::Full : EndpointList::Kind::Delta;
  broker_.update_endpoints(kind, list.endpoints);
}

}  // namespace gorsebeam::discovery

#include "endpoint_watch.h"

#include "net/log.h"

#include <rapidjson/document.h>

#include <charconv>
#include <utility>

namespace gorsebeam::discovery {
namespace {

constexpr std::size_t kHeadMost = 16 * 1024;
constexpr std::size_t kSizeMost = 64;  // bytes that tell the size of a chunk

}  // namespace

EndpointWatch::EndpointWatch(proxy::RequestBroker& core, std::string address,
                             EndpointListDocument known, ReconnectBackoff pace)
    : core_(core), address_(std::move(address)), revision_(known.revision), silence_([this] {
        again("silent", true);
      }),
      retry_([this] {
        start();
      }),
      pace_(pace) {
  newest_.take(known, true);
  core_.update_endpoints(EndpointList::Kind::Cached, known.members);
}

void EndpointWatch::start() {
  head_read_ = chunked_ = false;
  first_ = true;
  objects_.clear();
  silence_.after(pace_.silence());
  stream_ = net::Stream::connect(address_, *this);
  if (!stream_)
    again("no socket");
}

void EndpointWatch::stop() {
  silence_.stop();
  retry_.stop();
  if (stream_)
    stream_->close();
}

// Guards against a revision of the old address that the new one counts otherwise: the whole list is
// asked for.
void EndpointWatch::follow(const std::string& address) {
  if (address == address_)
    return;
  stop();
  address_ = address;
  revision_ = 0;
  newest_.recount();
  told_.clear();
  pace_.moved();
  start();
}

void EndpointWatch::again(const std::string& why, bool silent) {
  // Told once for each cause while the agent stays away.
  if (why != told_)
    net::log({"endpoint_watch_closed", {{"reason", why}}});
  told_ = why;
  stop();
  retry_.after(pace_.next(silent));
}

void EndpointWatch::connected() {
  const std::string request = "GET /api/targets?watch=1&from=" + std::to_string(revision_) +
                              " HTTP/1.1\r\nHost: " + address_ +
                              "\r\nAccept: application/json\r\n\r\n";
  stream_->write({request});
}

void EndpointWatch::ended(const std::string& why) {
  again(why);
}

void EndpointWatch::received() {
  take();
  if (stream_->open())
    silence_.after(pace_.silence());  // by what has come of it so far
}

void EndpointWatch::take() {
  if (!head_read_ && !head())
    return;
  if (!chunked_) {
    objects_.add(stream_->input().view());
    stream_->input().consume(stream_->input().size());
  }
  while (chunked_ && stream_->open() && chunk()) {
  }
  if (stream_->open())
    lists();
}

bool EndpointWatch::head() {
  const std::string_view in = stream_->input().view();
  const std::size_t end = in.find("\r\n\r\n");
  if (end == std::string_view::npos) {
    if (in.size() > kHeadMost)
      again("the answer's head is too long");
    return false;
  }
  if (in.substr(0, 9) != "HTTP/1.1 " || in.substr(9, 3) != "200") {
    again("answered " + std::string(in.substr(0, std::min<std::size_t>(in.find('\r'), 80))));
    return false;
  }
  std::string lower(in.substr(0, end));
  for (char& c : lower)
    c = g_ascii_tolower(c);
  chunked_ = lower.find("transfer-encoding: chunked") != std::string::npos;
  stream_->input().consume(end + 4);
  head_read_ = true;
  return true;
}

// Takes one chunk into the body. False: no whole one there.
bool EndpointWatch::chunk() {
  const std::string_view in = stream_->input().view();
  const std::size_t line = in.find("\r\n");
  if (line == std::string_view::npos) {
    if (in.size() > kSizeMost)
      again("a malformed chunk");
    return false;
  }
  std::size_t size = 0;
  const auto [end, fault] = std::from_chars(in.data(), in.data() + line, size, 16);
  if (fault != std::errc() || end == in.data() || size > JsonObjectSplitter::kMost) {
    again("a malformed chunk");
    return false;
  }
  if (in.size() < line + 2 + size + 2)
    return false;
  if (size == 0) {
    lists();
    if (stream_->open())
      again("the answer ended");
    return false;
  }
  objects_.add(in.substr(line + 2, size));
  stream_->input().consume(line + 2 + size + 2);
  return true;
}

void EndpointWatch::lists() {
  std::string_view object;
  for (JsonObjectSplitter::Step step;
       (step = objects_.next(object)) != JsonObjectSplitter::Step::More;) {
    rapidjson::Document document;
    if (step == JsonObjectSplitter::Step::Object)
      document.Parse(object.data(), object.size());
    try {
      if (step == JsonObjectSplitter::Step::Broken || document.HasParseError())
        throw settings::FormatError("not JSON");
      apply(read_list(document, "discovery's list"));
    } catch (const settings::FormatError& error) {
      // What was missed cannot be known: the whole list is asked for again.
      revision_ = 0;
      return again(error.what());
    }
  }
}

void EndpointWatch::apply(EndpointListDocument list) {
  newest_.take(list, std::exchange(first_, false));
  revision_ = newest_.revision();
  told_.clear();
  pace_.heard();
  core_.update_endpoints(list.complete ? EndpointList::Kind::Full : EndpointList::Kind::Delta,
                         list.members);
}

}  // namespace gorsebeam::discovery

/// Usual clients: each keeps its connection, sends one request at a time, and opens a new
/// connection when one ends.
#pragma once

#include "standin.h"

namespace standin {

struct Request {
  std::string id;
  double sent_at = 0;
  int wait_ms = 0;
  Answer answer;
};

class Load {
public:
  /// `make` returns the statement for an id. A client reads for `patience_ms` at most, which may be
  /// longer than `wait_ms`, the time that its request has.
  Load(int port, int clients, double pause_ms, int wait_ms, double patience_ms,
       std::function<std::string(const std::string& id)> make)
      : port_(port), pause_ms_(pause_ms), wait_ms_(wait_ms), patience_ms_(patience_ms),
        make_(std::move(make)) {
    for (int i = 0; i < clients; ++i)
      threads_.emplace_back([this] {
        run();
      });
  }

  ~Load() { stop(); }

  void stop() {
    is_stopping_ = true;
    for (std::thread& thread : threads_)
      if (thread.joinable())
        thread.join();
  }

  [[nodiscard]] std::vector<Request> requests() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
  }

  [[nodiscard]] std::string summary() const {
    std::map<std::string, int> counts;
    for (const Request& request : requests())
      ++counts[request.answer.text().substr(0, request.answer.text().find(','))];
    std::string text;
    for (const auto& [kind, count] : counts)
      text += (text.empty() ? "" : ", ") + kind + " " + std::to_string(count);
    return text;
  }

private:
  void run() {
    std::unique_ptr<Client> client;
    while (!is_stopping_) {
      if (!client || !client->is_open())
        client = std::make_unique<Client>(port_);
      if (!client->is_open()) {
        sleep_ms(20);
        continue;
      }
      Request request;
      request.id = new_id();
      request.wait_ms = wait_ms_;
      request.sent_at = now_ms();
      request.answer = client->ask(make_(request.id), patience_ms_);
      if (request.answer.kind == Answer::Kind::None)
        client.reset();
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        requests_.push_back(request);
      }
      RECORD("client: request %s: %s after %.0f ms", request.id.c_str(),
             request.answer.text().c_str(), request.answer.at - request.sent_at);
      sleep_ms(pause_ms_);
    }
  }

  int port_;
  double pause_ms_;
  int wait_ms_;
  double patience_ms_;
  std::function<std::string(const std::string&)> make_;
  std::atomic<bool> is_stopping_{false};
  mutable std::mutex mutex_;
  std::vector<Request> requests_;
  std::vector<std::thread> threads_;
};

/// The statements that came to a host from `from` on; each is written to the record.
inline int count_since(const Host& host, double from, double until) {
  int count = 0;
  for (const auto& [at, sql] : host.statements()) {
    if (at < from || at > until)
      continue;
    ++count;
    RECORD("%s: got a request %.0f ms after the limit: id=%s", host.name().c_str(), at - from,
           comment_field(sql, "id").c_str());
  }
  return count;
}

}  // namespace standin

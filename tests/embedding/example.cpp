#include <gorsebeam/router.h>

#include <chrono>
#include <iostream>
#include <variant>
#include <vector>

int main() {
  using namespace std::chrono_literals;
  gorsebeam::Settings settings;
  gorsebeam::RequestClass read;
  read.name = "read";
  read.latency_objective = 200ms;
  read.deadline = 800ms;
  settings.classes.push_back(read);
  settings.max_attempts = 3;
  gorsebeam::Router router(settings, 1);

  // The endpoint list names one replica; the router asks for a health check, which succeeds.
  std::vector<gorsebeam::Action> actions;
  gorsebeam::EndpointList list;
  gorsebeam::Endpoint replica;
  replica.id = 7;
  list.endpoints.push_back(replica);
  router.handle(gorsebeam::TimePoint{}, list, actions);
  gorsebeam::HealthCheckResult health_check;
  health_check.endpoint = 7;
  health_check.succeeded = true;
  router.handle(gorsebeam::TimePoint(1ms), health_check, actions);

  actions.clear();
  gorsebeam::Request request;
  request.id = "first";
  request.deadline = gorsebeam::TimePoint(802ms);
  router.handle(gorsebeam::TimePoint(2ms), request, actions);
  for (const gorsebeam::Action& action : actions) {
    if (const auto* attempt = std::get_if<gorsebeam::StartAttempt>(&action))
      std::cout << "send " << attempt->request_id << " to " << attempt->endpoint << '\n';
  }
  gorsebeam::AttemptResult result;
  result.request_id = "first";
  result.endpoint = 7;
  result.request_finished = true;
  router.handle(gorsebeam::TimePoint(20ms), result, actions);
  return std::holds_alternative<gorsebeam::StartAttempt>(actions.front()) ? 0 : 1;
}

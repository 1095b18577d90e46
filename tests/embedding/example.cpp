#include <gorsebeam/router.h>

#include <iostream>
#include <variant>
#include <vector>

int main() {
  constexpr gorsebeam::Nanos ms = 1'000'000;
  gorsebeam::Settings settings;
  gorsebeam::RequestClass read;
  read.name = "read";
  read.aim = 200 * ms;
  read.deadline = 800 * ms;
  settings.classes.push_back(read);
  settings.max_attempts = 3;
  gorsebeam::Router router(settings, 1);

  std::vector<gorsebeam::Action> actions;
  gorsebeam::Member replica;
  replica.id = 7;
  router.handle(0, gorsebeam::MemberList{gorsebeam::MemberList::Kind::Full, {replica}}, actions);
  router.handle(1 * ms, gorsebeam::Probed{7, true, 1 * ms, {}},
                actions);  // the probe it asked for, answered

  actions.clear();
  gorsebeam::Request request;
  request.id = "first";
  request.deadline = 802 * ms;
  router.handle(2 * ms, request, actions);
  for (const gorsebeam::Action& action : actions) {
    if (const auto* send = std::get_if<gorsebeam::Send>(&action))
      std::cout << "send " << send->id << " to " << send->member << '\n';
  }
  gorsebeam::Outcome outcome;
  outcome.id = "first";
  outcome.member = 7;
  outcome.closed = true;
  router.handle(20 * ms, outcome, actions);
  return std::holds_alternative<gorsebeam::Send>(actions.front()) ? 0 : 1;
}

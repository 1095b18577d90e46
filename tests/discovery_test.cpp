#include "discovery/json_object_splitter.h"
#include "discovery/revision_filter.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace gorsebeam::discovery {
namespace {

using Status = JsonObjectSplitter::Status;

/// Returns the objects in `text` if it arrives in reads of `read_size` bytes. "!" stands for
/// malformed input.
std::vector<std::string> split(const std::string& text, std::size_t read_size) {
  JsonObjectSplitter splitter;
  std::vector<std::string> objects;
  for (std::size_t at = 0; at < text.size(); at += read_size) {
    splitter.add(std::string_view(text).substr(at, read_size));
    JsonObjectSplitter::Output output = splitter.next();
    for (; output.status == Status::Object; output = splitter.next())
      objects.emplace_back(output.object);
    if (output.status == Status::Malformed) {
      objects.emplace_back("!");
      return objects;
    }
  }
  return objects;
}

TEST(JsonObjectSplitter, SplitsObjectsWhereverLinesAndReadsEnd) {
  const std::string plain = R"({"a":"}\"{","b":[{"c":1},{}]})";
  const std::string indented = "{\n  \"a\": [\n    1\n  ]\r\n}";
  const std::string text =
      plain + "\n\n\r\n" + indented + "\n" + plain + plain;  // no line end after the last object
  for (std::size_t read_size = 1; read_size <= text.size(); ++read_size)
    EXPECT_EQ(split(text, read_size), (std::vector<std::string>{plain, indented, plain, plain}))
        << read_size;
}

TEST(JsonObjectSplitter, RejectsInputOfWhichAPartWasLost) {
  using Found = std::vector<std::string>;
  EXPECT_EQ(split("{\"a\":[\n\n{\"a\":1}\n", 3), (Found{"!"}));  // a heartbeat within an object
  EXPECT_EQ(split("{\"a\":\"lo\n{\"a\":1}\n", 3), (Found{"!"}));
  EXPECT_EQ(split("{}\nnonsense\n{}\n", 3), (Found{"{}", "!"}));
  EXPECT_EQ(split("{}]", 3), (Found{"{}", "!"}));
  EXPECT_EQ(split("{\"a\":[", 1), Found{});  // an incomplete object
}

TEST(JsonObjectSplitter, RejectsAnObjectOverItsMaximumSize) {
  JsonObjectSplitter splitter;
  splitter.add(R"({"a":")");
  const std::string part(1 << 20, 'x');
  int parts = 0;
  while (splitter.next().status == Status::NeedsInput && parts <= 20) {
    splitter.add(part);
    ++parts;
  }
  EXPECT_EQ(parts, 8);
}

proxy::ListedEndpoint endpoint(const std::string& name, EndpointStatus status,
                               TimePoint started_at = {}) {
  proxy::ListedEndpoint listed;
  listed.name = name;
  listed.endpoint.status = status;
  listed.endpoint.started_at = started_at;
  return listed;
}

constexpr EndpointStatus kUp = EndpointStatus::Up;
constexpr EndpointStatus kDraining = EndpointStatus::Draining;
constexpr EndpointStatus kRemoved = EndpointStatus::Removed;

/// Returns the filtered list as text: "all" if it is complete, then the name of each endpoint with
/// + for up, ~ for draining or - for removed.
std::string filtered(RevisionFilter& filter, std::int64_t revision, bool complete,
                     std::vector<proxy::ListedEndpoint> endpoints,
                     ListOrder order = ListOrder::Later) {
  EndpointListDocument list{revision, complete, std::move(endpoints)};
  filter.remove_outdated(list, order);
  std::string text = list.complete ? "all" : "";
  for (const proxy::ListedEndpoint& listed : list.endpoints) {
    const EndpointStatus status = listed.endpoint.status;
    const char* mark = status == kUp ? "+" : status == kRemoved ? "-" : "~";
    text += " " + listed.name + mark;
  }
  return text;
}

TEST(RevisionFilter, DropsEntriesOlderThanTheLastEventOfTheirEndpoint) {
  RevisionFilter filter;
  EXPECT_EQ(
      filtered(filter, 40, true, {endpoint("a", kUp), endpoint("b", kUp)}, ListOrder::FirstOfWatch),
      "all a+ b+");
  EXPECT_EQ(filtered(filter, 44, false, {endpoint("a", kDraining)}), " a~");
  EXPECT_EQ(filtered(filter, 42, false, {endpoint("a", kUp), endpoint("b", kDraining)}),
            " b~");  // the entry of b is newer than the last event of b
  EXPECT_EQ(filtered(filter, 43, true, {endpoint("a", kUp), endpoint("c", kUp)}),
            " c+");  // b is not removed
  EXPECT_EQ(filtered(filter, 45, false, {endpoint("a", kRemoved)}), " a-");
  EXPECT_EQ(filtered(filter, 44, false, {endpoint("a", kDraining)}), "");
  EXPECT_EQ(filtered(filter, 45, false, {endpoint("a", kRemoved)}),
            " a-");  // an event with the same revision is not outdated
  EXPECT_EQ(filtered(filter, 46, false, {endpoint("a", kUp, TimePoint(7ns))}), " a+");
  EXPECT_EQ(filtered(filter, 47, true, {endpoint("a", kUp, TimePoint(7ns))}), "all a+");
  EXPECT_EQ(filtered(filter, 46, false, {endpoint("c", kUp)}),
            "");  // a newer list does not contain c
  EXPECT_EQ(filter.revision(), 47);
}

TEST(RevisionFilter, ListsADrainingOrRemovedEndpointAsUpInANewEpochOnlyAfterARestartOrALaterList) {
  for (const bool address_changed : {true, false}) {
    RevisionFilter filter;
    filtered(filter, 40, true,
             {endpoint("a", kDraining, TimePoint(5ns)), endpoint("b", kDraining, TimePoint(5ns)),
              endpoint("c", kUp), endpoint("d", kUp)},
             ListOrder::FirstOfWatch);
    EXPECT_EQ(filtered(filter, 41, false, {endpoint("d", kRemoved)}), " d-");
    EXPECT_EQ(filtered(filter, 42, true,
                       {endpoint("a", kDraining, TimePoint(5ns)),
                        endpoint("b", kDraining, TimePoint(5ns)), endpoint("d", kRemoved)}),
              "all a~ b~ d-");  // the list does not contain c
    if (address_changed)
      filter.start_new_epoch();
    EXPECT_EQ(filtered(filter, 7, true,
                       {endpoint("a", kUp, TimePoint(5ns)), endpoint("b", kUp, TimePoint(6ns)),
                        endpoint("c", kUp), endpoint("d", kUp)},
                       ListOrder::FirstOfWatch),
              "all a~ b+ c+ d-");
    EXPECT_EQ(filter.revision(), 7);
    EXPECT_EQ(filtered(filter, 7, true, {endpoint("a", kUp, TimePoint(5ns))}),
              "all a~");  // the list has no higher revision
    EXPECT_EQ(filtered(filter, 8, false, {endpoint("a", kUp, TimePoint(5ns)), endpoint("d", kUp)}),
              " a+ d+");
  }
}

TEST(RevisionFilter, KeepsADrainingEndpointAfterAnAddressChangeUntilAHigherRevision) {
  RevisionFilter filter;
  filtered(filter, 40, true, {endpoint("a", kDraining)}, ListOrder::FirstOfWatch);
  filter.start_new_epoch();
  EXPECT_EQ(filtered(filter, 39, true, {endpoint("a", kUp)}, ListOrder::FirstOfWatch),
            "all a~");  // the agent at the new address lags
  EXPECT_EQ(filtered(filter, 41, false, {endpoint("a", kUp)}), " a+");
}

// Guards against requests to a draining endpoint: a list that omitted it made its drain forgotten,
// and a third agent, which lagged, listed it as up.
TEST(RevisionFilter, KeepsADrainOverTwoAddressChanges) {
  for (const EndpointStatus status : {kDraining, kRemoved}) {
    RevisionFilter filter;
    filtered(filter, 40, true, {endpoint("a", kUp, TimePoint(5ns)), endpoint("b", kUp)},
             ListOrder::FirstOfWatch);
    filtered(filter, 41, false, {endpoint("a", status, TimePoint(5ns))});
    filter.start_new_epoch();
    EXPECT_EQ(filtered(filter, 43, true, {endpoint("c", kUp)}, ListOrder::FirstOfWatch), "all c+");
    filter.start_new_epoch();
    const auto lagging = {endpoint("a", kUp, TimePoint(5ns)), endpoint("b", kUp),
                          endpoint("c", kUp)};
    EXPECT_EQ(filtered(filter, 39, true, lagging, ListOrder::FirstOfWatch), "all a- b+ c+")
        << "b was omitted, but never listed as draining";
    EXPECT_EQ(filtered(filter, 44, false, {endpoint("a", kUp, TimePoint(5ns))}), " a+");
    EXPECT_EQ(filtered(filter, 45, false, {endpoint("a", kUp, TimePoint(6ns))}), " a+");
  }
}

TEST(RevisionFilter, ForgetsRemovedEndpointsBeyondTheMaximum) {
  RevisionFilter filter;
  for (int i = 0; i < 3000; ++i)
    filtered(filter, 2 * i + 2, false, {endpoint("m" + std::to_string(i), kRemoved)});
  EXPECT_EQ(filtered(filter, 1, false, {endpoint("m2999", kUp)}), "");
  EXPECT_EQ(filtered(filter, 1, false, {endpoint("m0", kUp)}),
            " m0+");  // m0 was forgotten, so its entry is not outdated
}

}  // namespace
}  // namespace gorsebeam::discovery

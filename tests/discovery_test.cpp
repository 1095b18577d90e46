#include "discovery/json_object_splitter.h"
#include "discovery/revision_filter.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace gorsebeam::discovery {
namespace {

using Status = JsonObjectSplitter::Status;

/// The objects of `text` when it arrives `piece` bytes at a time; "!" stands for malformed input.
std::vector<std::string> split(const std::string& text, std::size_t piece) {
  JsonObjectSplitter splitter;
  std::vector<std::string> objects;
  for (std::size_t at = 0; at < text.size(); at += piece) {
    splitter.add(std::string_view(text).substr(at, piece));
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
      plain + "\n\n\r\n" + indented + "\n" + plain + plain;  // no line end after the last
  for (std::size_t piece = 1; piece <= text.size(); ++piece)
    EXPECT_EQ(split(text, piece), (std::vector<std::string>{plain, indented, plain, plain}))
        << piece;
}

TEST(JsonObjectSplitter, RejectsInputOfWhichAPartWasLost) {
  using Found = std::vector<std::string>;
  EXPECT_EQ(split("{\"a\":[\n\n{\"a\":1}\n", 3), (Found{"!"}));  // the heartbeat, within an object
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

/// The news of a list as text: "all" for a complete one, then each name with + for up, ~ for
/// draining and - for removed.
std::string news_of(RevisionFilter& filter, std::int64_t revision, bool complete,
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
      news_of(filter, 40, true, {endpoint("a", kUp), endpoint("b", kUp)}, ListOrder::FirstOfWatch),
      "all a+ b+");
  EXPECT_EQ(news_of(filter, 44, false, {endpoint("a", kDraining)}), " a~");
  EXPECT_EQ(news_of(filter, 42, false, {endpoint("a", kUp), endpoint("b", kDraining)}),
            " b~");  // the newest of b
  EXPECT_EQ(news_of(filter, 43, true, {endpoint("a", kUp), endpoint("c", kUp)}),
            " c+");  // b is not removed
  EXPECT_EQ(news_of(filter, 45, false, {endpoint("a", kRemoved)}), " a-");
  EXPECT_EQ(news_of(filter, 44, false, {endpoint("a", kDraining)}), "");
  EXPECT_EQ(news_of(filter, 45, false, {endpoint("a", kRemoved)}),
            " a-");  // repeated, it is the same
  EXPECT_EQ(news_of(filter, 46, false, {endpoint("a", kUp, TimePoint(7ns))}), " a+");
  EXPECT_EQ(news_of(filter, 47, true, {endpoint("a", kUp, TimePoint(7ns))}), "all a+");
  EXPECT_EQ(news_of(filter, 46, false, {endpoint("c", kUp)}), "");  // a newer list left c out
  EXPECT_EQ(filter.revision(), 47);
}

TEST(RevisionFilter, ReadmitsALeavingEndpointInANewEpochOnlyAfterARestartOrALaterList) {
  for (const bool address_changed : {true, false}) {
    RevisionFilter filter;
    news_of(filter, 40, true,
            {endpoint("a", kDraining, TimePoint(5ns)), endpoint("b", kDraining, TimePoint(5ns)),
             endpoint("c", kUp), endpoint("d", kUp)},
            ListOrder::FirstOfWatch);
    EXPECT_EQ(news_of(filter, 41, false, {endpoint("d", kRemoved)}), " d-");
    EXPECT_EQ(news_of(filter, 42, true,
                      {endpoint("a", kDraining, TimePoint(5ns)),
                       endpoint("b", kDraining, TimePoint(5ns)), endpoint("d", kRemoved)}),
              "all a~ b~ d-");  // c is left out
    if (address_changed)
      filter.start_new_epoch();
    EXPECT_EQ(news_of(filter, 7, true,
                      {endpoint("a", kUp, TimePoint(5ns)), endpoint("b", kUp, TimePoint(6ns)),
                       endpoint("c", kUp), endpoint("d", kUp)},
                      ListOrder::FirstOfWatch),
              "all a~ b+ c+ d-");
    EXPECT_EQ(filter.revision(), 7);
    EXPECT_EQ(news_of(filter, 7, true, {endpoint("a", kUp, TimePoint(5ns))}),
              "all a~");  // not a later list
    EXPECT_EQ(news_of(filter, 8, false, {endpoint("a", kUp, TimePoint(5ns)), endpoint("d", kUp)}),
              " a+ d+");
  }
}

TEST(RevisionFilter, KeepsALeavingEndpointAfterAnAddressChangeToAHigherRevision) {
  RevisionFilter filter;
  news_of(filter, 40, true, {endpoint("a", kDraining)}, ListOrder::FirstOfWatch);
  filter.start_new_epoch();
  EXPECT_EQ(news_of(filter, 39, true, {endpoint("a", kUp)}, ListOrder::FirstOfWatch),
            "all a~");  // the agent there is behind
  EXPECT_EQ(news_of(filter, 41, false, {endpoint("a", kUp)}), " a+");
}

TEST(RevisionFilter, ForgetsRemovedEndpointsBeyondTheMaximum) {
  RevisionFilter filter;
  for (int i = 0; i < 3000; ++i)
    news_of(filter, 2 * i + 2, false, {endpoint("m" + std::to_string(i), kRemoved)});
  EXPECT_EQ(news_of(filter, 1, false, {endpoint("m2999", kUp)}), "");
  EXPECT_EQ(news_of(filter, 1, false, {endpoint("m0", kUp)}),
            " m0+");  // forgotten, so it counts as news
}

}  // namespace
}  // namespace gorsebeam::discovery

#include "discovery/json_object_splitter.h"
#include "discovery/revision_filter.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace gorsebeam::discovery {
namespace {

// What is cut out of `text` when it comes `piece` bytes at a time; "!" stands for a break.
std::vector<std::string> cut(const std::string& text, std::size_t piece) {
  JsonObjectSplitter objects;
  std::vector<std::string> found;
  for (std::size_t at = 0; at < text.size(); at += piece) {
    objects.add(std::string_view(text).substr(at, piece));
    std::string_view object;
    for (JsonObjectSplitter::Step step;
         (step = objects.next(object)) != JsonObjectSplitter::Step::More;) {
      found.emplace_back(step == JsonObjectSplitter::Step::Object ? object : "!");
      if (step == JsonObjectSplitter::Step::Broken)
        return found;
    }
  }
  return found;
}

TEST(Objects, AreCutOutWhereverLinesAndReadsEnd) {
  const std::string plain = R"({"a":"}\"{","b":[{"c":1},{}]})",
                    indented = "{\n  \"a\": [\n    1\n  ]\r\n}";
  const std::string text =
      plain + "\n\n\r\n" + indented + "\n" + plain + plain;  // and none behind the last
  for (std::size_t piece = 1; piece <= text.size(); ++piece)
    EXPECT_EQ(cut(text, piece), (std::vector<std::string>{plain, indented, plain, plain})) << piece;
}

TEST(Objects, BreakWhereAPartWasLost) {
  using Found = std::vector<std::string>;
  EXPECT_EQ(cut("{\"a\":[\n\n{\"a\":1}\n", 3), (Found{"!"}));  // the beat, within an object
  EXPECT_EQ(cut("{\"a\":\"lo\n{\"a\":1}\n", 3), (Found{"!"}));
  EXPECT_EQ(cut("{}\nnonsense\n{}\n", 3), (Found{"{}", "!"}));
  EXPECT_EQ(cut("{}]", 3), (Found{"{}", "!"}));
  EXPECT_EQ(cut("{\"a\":[", 1), Found{});  // cut short is no object
}

TEST(Objects, HoldNoMoreThanTheirBound) {
  JsonObjectSplitter objects;
  std::string_view object;
  objects.add("{\"a\":\"");
  const std::string part(1 << 20, 'x');
  int parts = 0;
  while (objects.next(object) == JsonObjectSplitter::Step::More && parts <= 20)
    objects.add(part), ++parts;
  EXPECT_EQ(parts, 8);
}

proxy::ListedEndpoint member(const std::string& name, EndpointStatus state, Nanos started = 0) {
  proxy::ListedEndpoint listed;
  listed.name = name;
  listed.endpoint.status = state;
  listed.endpoint.started_at = started;
  return listed;
}

constexpr EndpointStatus up = EndpointStatus::Up, draining = EndpointStatus::Draining,
                         gone = EndpointStatus::Removed;

// What is left of a list, as words.
std::string taken(RevisionFilter& newest, std::int64_t revision, bool complete,
                  std::vector<proxy::ListedEndpoint> members, bool first = false) {
  EndpointListDocument list{revision, complete, std::move(members)};
  newest.take(list, first);
  std::string words = list.complete ? "all" : "";
  for (const auto& listed : list.members)
    words += " " + listed.name +
             (listed.endpoint.status == up     ? "+"
              : listed.endpoint.status == gone ? "-"
                                               : "~");
  return words;
}

TEST(Newest, AnOldListAfterANewOneChangesNothingThatTheNewOneTold) {
  RevisionFilter newest;
  EXPECT_EQ(taken(newest, 40, true, {member("a", up), member("b", up)}, true), "all a+ b+");
  EXPECT_EQ(taken(newest, 44, false, {member("a", draining)}), " a~");
  EXPECT_EQ(taken(newest, 42, false, {member("a", up), member("b", draining)}),
            " b~");  // of b it is the newest
  EXPECT_EQ(taken(newest, 43, true, {member("a", up), member("c", up)}),
            " c+");  // and b is not gone
  EXPECT_EQ(taken(newest, 45, false, {member("a", gone)}), " a-");
  EXPECT_EQ(taken(newest, 44, false, {member("a", draining)}), "");
  EXPECT_EQ(taken(newest, 45, false, {member("a", gone)}), " a-");  // told again, it is the same
  EXPECT_EQ(taken(newest, 46, false, {member("a", up, 7)}), " a+");
  EXPECT_EQ(taken(newest, 47, true, {member("a", up, 7)}), "all a+");
  EXPECT_EQ(taken(newest, 46, false, {member("c", up)}), "");  // left out of a newer one
  EXPECT_EQ(newest.revision(), 47);
}

TEST(Newest, InAnotherCountWhoWasToldToLeaveIsBackOnlyByAStartOrALaterWord) {
  for (const bool moved : {true, false}) {
    RevisionFilter newest;
    taken(newest, 40, true,
          {member("a", draining, 5), member("b", draining, 5), member("c", up), member("d", up)},
          true);
    EXPECT_EQ(taken(newest, 41, false, {member("d", gone)}), " d-");
    EXPECT_EQ(taken(newest, 42, true,
                    {member("a", draining, 5), member("b", draining, 5), member("d", gone)}),
              "all a~ b~ d-");  // c is left out
    if (moved)
      newest.recount();
    EXPECT_EQ(taken(newest, 7, true,
                    {member("a", up, 5), member("b", up, 6), member("c", up), member("d", up)},
                    true),
              "all a~ b+ c+ d-");
    EXPECT_EQ(newest.revision(), 7);
    EXPECT_EQ(taken(newest, 7, true, {member("a", up, 5)}), "all a~");  // no later word
    EXPECT_EQ(taken(newest, 8, false, {member("a", up, 5), member("d", up)}), " a+ d+");
  }
}

TEST(Newest, AfterAMoveAHigherCountIsTakenWithTheSameCare) {
  RevisionFilter newest;
  taken(newest, 40, true, {member("a", draining)}, true);
  newest.recount();
  EXPECT_EQ(taken(newest, 39, true, {member("a", up)}, true),
            "all a~");  // the agent there is behind
  EXPECT_EQ(taken(newest, 41, false, {member("a", up)}), " a+");
}

TEST(Newest, ForgetsMembersThatAreGone) {
  RevisionFilter newest;
  for (int i = 0; i < 3000; ++i)
    taken(newest, 2 * i + 2, false, {member("m" + std::to_string(i), gone)});
  EXPECT_EQ(taken(newest, 1, false, {member("m2999", up)}), "");
  EXPECT_EQ(taken(newest, 1, false, {member("m0", up)}),
            " m0+");  // forgotten, and so taken for news
}

}  // namespace
}  // namespace gorsebeam::discovery

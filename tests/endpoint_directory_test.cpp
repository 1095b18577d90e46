// Guards against an endpoint that inherits what is known of another one, whose id it was given.
#include "proxy/endpoint_directory.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

namespace gorsebeam::proxy {
namespace {

// Names of replicas as a date makes them: their last eight digits are the same.
const std::string kPorto = "pg-porto-20261201";
const std::string kNord = "pg-nord-20261201";
const std::string kMonreale = "pg-monreale-20261201";

bool is_always_in_use(EndpointId) {
  return true;
}

bool is_never_in_use(EndpointId) {
  return false;
}

TEST(EndpointDirectory, DerivesIdsFromNames) {
  EndpointDirectory directory;
  EXPECT_EQ(directory.assign_id("s-5be2a07c"), 0x5be2a07cU);
  EXPECT_EQ(directory.assign_id(kPorto), 0x20261201U);
  EXPECT_EQ(directory.assign_id(kNord), 0x20261202U) << "the next free one";
  EXPECT_EQ(directory.assign_id(kPorto), 0x20261201U);
}

TEST(EndpointDirectory, KeepsTheIdOfAReleasedEndpointWhileItIsInUse) {
  EndpointDirectory directory;
  const EndpointId porto = directory.assign_id(kPorto);
  directory.release_id(porto);
  directory.forget_released(is_always_in_use);
  EXPECT_NE(directory.assign_id(kNord), porto);
  EXPECT_EQ(directory.assign_id(kPorto), porto) << "it is back";
}

TEST(EndpointDirectory, AssignsAnIdThatIsNotInUseAgain) {
  EndpointDirectory directory;
  const EndpointId porto = directory.assign_id(kPorto);
  directory.assign_id(kNord);
  directory.release_id(porto);
  directory.forget_released(is_never_in_use);
  EXPECT_EQ(directory.assign_id(kMonreale), porto);
  EXPECT_NE(directory.assign_id(kPorto), porto);
}

TEST(EndpointDirectory, NamesOnlyListedEndpoints) {
  EndpointDirectory directory;
  const EndpointId porto = directory.assign_id(kPorto);
  const EndpointId nord = directory.assign_id(kNord);
  directory.release_id(porto);
  EXPECT_EQ(directory.ids_except({}), std::vector<EndpointId>{nord});
  EXPECT_TRUE(directory.ids_except({kNord}).empty());
}

}  // namespace
}  // namespace gorsebeam::proxy

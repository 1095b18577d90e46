#include "frontend/request_admission.h"

#include <gtest/gtest.h>

namespace gorsebeam::frontend {
namespace {

using Decision = proxy::ContractEnforcer::Decision;

constexpr TimePoint kArrival(1us);
constexpr TimePoint kNow(1010ns);
constexpr Duration kTimeLimit = 500ns;

class RequestAdmissionTest : public testing::Test {
protected:
  RequestAdmissionTest() {
    settings_.classes.resize(2);
    settings_.classes[1].consistency = ConsistencyLevel::Write;
    contracts_.replace_contracts(make_contracts(), kNow);
  }

  /// Contracts by which the team `portal` may use only the class "any", with a deadline below
  /// `kTimeLimit` and three attempts.
  static std::shared_ptr<proxy::ContractSet> make_contracts() {
    auto contracts = std::make_shared<proxy::ContractSet>();
    contracts->classes = {{"any", 0}, {"save", 1}};
    contracts->teams["portal"].classes[0] = {400ns, 3};
    return contracts;
  }

  static ParsedRequest request_of_class(std::size_t class_index) {
    ParsedRequest parsed;
    parsed.request.class_index = class_index;
    parsed.time_limit = kTimeLimit;
    return parsed;
  }

  Settings settings_;
  proxy::ContractEnforcer contracts_;
  RequestAdmission admission_{contracts_, settings_};
};

TEST_F(RequestAdmissionTest, FindsClassesByName) {
  const auto save = admission_.classes().find("save");
  ASSERT_TRUE(save);
  EXPECT_EQ(save->index, 1U);
  EXPECT_TRUE(is_write(save->settings));
  EXPECT_FALSE(admission_.classes().find("unknown"));
}

TEST_F(RequestAdmissionTest, AppliesTimeLimitAndContract) {
  admission_.set_team("portal");
  EXPECT_EQ(admission_.missing_contract(), std::nullopt);
  const auto admitted = admission_.admit(request_of_class(0), kArrival, kNow);
  ASSERT_TRUE(admitted);
  EXPECT_EQ(admitted.value().deadline, kNow + 400ns);
  EXPECT_EQ(admitted.value().max_attempts, 3U);
  const auto denied = admission_.admit(request_of_class(1), kArrival, kNow);
  ASSERT_FALSE(denied);
  EXPECT_EQ(denied.error(), Decision::ClassNotAllowed);
}

TEST_F(RequestAdmissionTest, CountsTimeLimitFromArrivalWithoutContracts) {
  contracts_.replace_contracts(std::make_shared<proxy::ContractSet>(), kNow);
  const auto admitted = admission_.admit(request_of_class(0), kArrival, kNow);
  ASSERT_TRUE(admitted);
  EXPECT_EQ(admitted.value().deadline, kArrival + kTimeLimit);
}

TEST_F(RequestAdmissionTest, LimitsRequestOfUnknownEffectToOneAttempt) {
  admission_.set_team("portal");
  ParsedRequest parsed = request_of_class(0);
  parsed.is_single_attempt = true;
  EXPECT_EQ(admission_.admit(parsed, kArrival, kNow).value().max_attempts, 1U);
}

TEST_F(RequestAdmissionTest, NamesTeamWithoutContract) {
  EXPECT_EQ(admission_.missing_contract(), "no contract with the team ''");
  admission_.set_team("others");
  EXPECT_EQ(admission_.missing_contract(), "no contract with the team 'others'");
  const auto denied = admission_.admit(request_of_class(0), kArrival, kNow);
  ASSERT_FALSE(denied);
  EXPECT_EQ(denied.error(), Decision::UnknownTeam);
}

}  // namespace
}  // namespace gorsebeam::frontend

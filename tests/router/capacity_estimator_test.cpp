/// Tests of src/router/capacity_estimator.h.
#include "router/capacity_estimator.h"

#include "endpoint_fixture.h"

#include <vector>

namespace gorsebeam::router {
namespace {

constexpr double kWork = 50e6;  // in nanoseconds

class CapacityEstimatorTest : public EndpointFixture {
protected:
  CapacityEstimatorTest() {
    settings_.router_count = 4;
    settings_.slow_start_duration = 10s;
    settings_.slow_start_initial_capacity = 0.2;
  }

  // The router gets `per_second` answers of each endpoint in turn.
  void serve(const std::vector<EndpointState*>& endpoints, double per_second, int seconds) {
    const int answers = static_cast<int>(per_second * seconds);
    for (int i = 0; i < answers; ++i) {
      now_ += to_duration(1e9 / per_second);
      estimator_.advance(now_);
      estimator_.record_request();
      for (EndpointState* endpoint : endpoints)
        estimator_.record_answer(*endpoint, kWork);
    }
  }

  Settings settings_;
  TimePoint now_ = kStart;
  CapacityEstimator estimator_{settings_, endpoints_};
};

TEST_F(CapacityEstimatorTest, AssumesAnEvenShareOfOneRequestAtATime) {
  estimator_.advance(now_);
  EXPECT_DOUBLE_EQ(estimator_.capacity_share(), 0.25);
}

TEST_F(CapacityEstimatorTest, ApproachesWhatEachEndpointServesForThisRouter) {
  serve({&add_endpoint(1), &add_endpoint(2)}, 60, 30);
  EXPECT_NEAR(estimator_.capacity_share(), 60 * kWork / 1e9, 0.6);
  EXPECT_LT(estimator_.capacity_share(), 60 * kWork / 1e9);
}

TEST_F(CapacityEstimatorTest, DoesNotRiseWhenEndpointsLeave) {
  EndpointState& left = add_endpoint(2);
  serve({&add_endpoint(1), &left}, 60, 30);
  const double before = estimator_.capacity_share();
  left.is_ejected = true;
  now_ += 1s;
  estimator_.advance(now_);
  EXPECT_LE(estimator_.capacity_share(), before);
}

TEST_F(CapacityEstimatorTest, IgnoresEndpointsInSlowStart) {
  EndpointState& started = add_endpoint(1);
  started.slow_start_since = kStart;
  serve({&started}, 60, 5);
  EXPECT_DOUBLE_EQ(estimator_.capacity_share(), 0.25);
}

TEST_F(CapacityEstimatorTest, ForgetsALoadThatIsOver) {
  serve({&add_endpoint(1)}, 60, 30);
  now_ += 600s;
  estimator_.advance(now_);
  EXPECT_DOUBLE_EQ(estimator_.capacity_share(), 0.25);
}

TEST_F(CapacityEstimatorTest, TakesAWeightThatIsNoCapacityForOne) {
  EndpointState& endpoint = add_endpoint(1);
  for (const double weight : {0.0, -3.0}) {
    endpoint.listing.weight = weight;
    EXPECT_DOUBLE_EQ(capacity_weight(endpoint), 1);
  }
}

TEST_F(CapacityEstimatorTest, MeasuresTheRequestRateForEachEndpoint) {
  serve({&add_endpoint(1), &add_endpoint(2)}, 60, 10);
  EXPECT_NEAR(estimator_.request_rate_per_endpoint(), 30, 3);
}

}  // namespace
}  // namespace gorsebeam::router

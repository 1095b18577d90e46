/// Estimates this router's share of what an endpoint at full capacity can serve.
///
/// The capacity of endpoints is not disclosed. The guide is what endpoints at full capacity have
/// served for this router: the sum over all routers is what these endpoints serve in all, which is
/// at most their capacity. A router that has observed little assumes an even share of the least
/// capacity that an endpoint can have, which is to serve one request at a time.
#pragma once

#include "gorsebeam/settings.h"
#include "router/endpoint_table.h"

namespace gorsebeam::router {

/// The endpoint's relative capacity: its listed weight, or 1 if that is not a positive number.
[[nodiscard]] double capacity_weight(const EndpointState& endpoint);

/// Quantities of work are in seconds for which requests occupy an endpoint, so that a capacity is a
/// number of requests that are served at the same time.
class CapacityEstimator {
public:
  CapacityEstimator(const Settings& settings, const EndpointTable& endpoints)
      : settings_(settings), endpoints_(endpoints) {}

  /// Advances the estimates to `now`, which never goes back.
  void advance(TimePoint now);

  /// Records that a request arrived.
  void record_request() { recent_requests_ += 1; }

  /// Records that an endpoint has served a request that takes `work`, in nanoseconds.
  void record_answer(const EndpointState& endpoint, double work);

  /// This router's share of the full capacity of an endpoint of weight 1.
  [[nodiscard]] double capacity_share() const;

  /// The requests per second that arrive at this router for each endpoint that is up.
  [[nodiscard]] double request_rate_per_endpoint() const;

  /// When the router handled its first event.
  [[nodiscard]] TimePoint observed_since() const { return observed_since_; }

private:
  void count_endpoints();

  const Settings& settings_;
  const EndpointTable& endpoints_;
  TimePoint observed_since_ = kUnknownTime;
  TimePoint advanced_to_ = kUnknownTime;
  TimePoint counted_at_ = kUnknownTime;
  double full_weight_ = 0;      // of the endpoints that serve at full capacity
  double up_count_ = 0;         // the number of endpoints that are listed as up
  double served_work_ = 0;      // decayed
  double endpoint_time_ = 0;    // decayed: seconds for which endpoints were at full capacity
  double recent_requests_ = 0;  // decayed
};

}  // namespace gorsebeam::router

/// The fixture of tests that run against the built program, once for each wire protocol.
#pragma once

#include "test_harness.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace test_harness {

/// A test whose parameter is the wire protocol.
class GatewayIntegrationTest : public testing::TestWithParam<const Protocol*> {
protected:
  [[nodiscard]] static const Protocol& protocol() { return *GetParam(); }

  [[nodiscard]] static bool is_mongo() { return &protocol() == &mongo(); }
};

/// A running gateway, and a client whose first `read_count` reads it has served.
struct WarmGateway {
  WarmGateway(const Protocol& protocol, std::size_t endpoint_count, int read_count,
              const PlatformSettings& settings = {})
      : harness(protocol, endpoint_count, 0) {
    harness.set_platform_settings(settings);
    harness.start();
    client = harness.connect_client();
    expect_reads_served(*client, "a", read_count);
  }

  GatewayHarness harness;
  std::unique_ptr<TestClient> client;
};

/// A running gateway that gets its endpoint list from a scripted discovery agent over a watch.
struct GatewayWithDiscoveryAgent {
  explicit GatewayWithDiscoveryAgent(const Protocol& protocol,
                                     const PlatformSettings& settings = {})
      : harness(protocol, 3, 0) {
    harness.set_platform_settings(settings);
    harness.use_discovery(agent.listener.address());
    harness.start();
  }

  GatewayHarness harness;
  DiscoveryAgent agent;
};

/// Settings with a connect timeout that no paused handshake exceeds.
inline PlatformSettings long_connect_timeout() {
  PlatformSettings settings;
  settings.connect_timeout_ms = 20'000;
  return settings;
}

inline std::string protocol_name(const testing::TestParamInfo<const Protocol*>& info) {
  return info.param->name();
}

inline auto both_protocols() {
  return testing::Values(&postgres(), &mongo());
}

inline auto postgres_only() {
  return testing::Values(&postgres());
}

inline auto mongo_only() {
  return testing::Values(&mongo());
}

}  // namespace test_harness
